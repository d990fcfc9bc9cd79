package calls

import (
	"net/http"
	"net/textproto"
	"strings"
)

// unforwardedHeaders are the headers that apply to a single connection (RFC 9110
// section 7.6.1), and those that are set anew for each hop. They are not forwarded.
var unforwardedHeaders = map[string]bool{
	"Connection":          true,
	"Keep-Alive":          true,
	"Proxy-Authenticate":  true,
	"Proxy-Authorization": true,
	"Proxy-Connection":    true,
	"Te":                  true,
	"Trailer":             true,
	"Transfer-Encoding":   true,
	"Upgrade":             true,
	"Content-Length":      true,
	"Expect":              true,
	"Host":                true,
}

// internalPrefix is the prefix of the headers of this project's own protocols. They
// are dropped from requests and from answers, so that neither callers nor upstreams
// can forge them.
const internalPrefix = "Moor-"

// EndToEnd returns a copy of h without hop-by-hop headers, those named by the
// Connection header included, and without headers of this project's own protocols.
func EndToEnd(h http.Header) http.Header {
	named := connectionHeaders(h)
	out := make(http.Header, len(h))
	for name, values := range h {
		canonical := name
		if !isCanonical(name) {
			canonical = textproto.CanonicalMIMEHeaderKey(name)
		}
		if unforwardedHeaders[canonical] || named[canonical] || strings.HasPrefix(canonical, internalPrefix) {
			continue
		}
		out[canonical] = values
	}
	return out
}

// isCanonical reports whether a header name is in canonical form. Names that net/http
// has parsed always are.
func isCanonical(name string) bool {
	return textproto.CanonicalMIMEHeaderKey(name) == name
}

// connectionHeaders returns the canonical names of the headers that the Connection
// header lists.
func connectionHeaders(h http.Header) map[string]bool {
	values := h["Connection"]
	if len(values) == 0 {
		return nil
	}
	named := make(map[string]bool)
	for _, value := range values {
		for name := range strings.SplitSeq(value, ",") {
			named[textproto.CanonicalMIMEHeaderKey(strings.TrimSpace(name))] = true
		}
	}
	return named
}
