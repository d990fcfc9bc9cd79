package calls

import (
	"net/http"
	"net/textproto"
	"strings"
)

// hopHeaders concern one connection alone (RFC 9110 section 7.6.1).
var hopHeaders = map[string]bool{
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

// internalPrefix marks the headers of this project. None may come from
// outside in either direction.
const internalPrefix = "Moor-"

// EndToEnd returns a copy of h without the headers that concern one connection
// alone and without those of this project's own protocols.
func EndToEnd(h http.Header) http.Header {
	named := connectionNames(h)
	out := make(http.Header, len(h))
	for name, values := range h {
		canonical := name
		if !isCanonical(name) {
			canonical = textproto.CanonicalMIMEHeaderKey(name)
		}
		if hopHeaders[canonical] || named[canonical] || strings.HasPrefix(canonical, internalPrefix) {
			continue
		}
		out[canonical] = values
	}
	return out
}

// isCanonical reports whether a header name starts as canonical names do; the
// names that net/http parsed always do.
func isCanonical(name string) bool {
	return textproto.CanonicalMIMEHeaderKey(name) == name
}

// connectionNames returns the headers that the Connection header names.
func connectionNames(h http.Header) map[string]bool {
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
