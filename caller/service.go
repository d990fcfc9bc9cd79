package caller

import (
	"net/http"
	"net/url"
	"strings"
	"time"

	"github.com/monsoonmoor/monsoonmoor/calls"
	"github.com/monsoonmoor/monsoonmoor/ident"
)

// ServiceSource looks up services in the settings in force.
type ServiceSource interface {
	// Service returns the settings of a service, and false when there is no such
	// service.
	Service(name ident.Service) (Service, bool)
	// Ready reports whether settings have been loaded. Until then, a service that is
	// not found may exist.
	Ready() bool
}

// Service provides the settings of a service that the Handler needs.
type Service interface {
	// Divided reports whether the service's keys are divided among owners, so that
	// each key has exactly one.
	Divided() bool
	// KeyRule returns the rule that extracts the routing key from a request without
	// a Moor-Key header.
	KeyRule() Rule
	// MaxBody returns the largest request body, in bytes; zero means the default.
	MaxBody() int64
	// DefaultTimeout returns the timeout of a request without a Moor-Timeout
	// header; zero means the Handler's default.
	DefaultTimeout() time.Duration
	// RequiresIdempotencyKey reports whether a non-idempotent request without an
	// Idempotency-Key is refused.
	RequiresIdempotencyKey() bool
}

// Source is the part of a request from which a Rule extracts the routing key.
type Source uint8

// Sources of a routing key.
const (
	// FromNone extracts no key: the request must have a Moor-Key header.
	FromNone Source = iota
	// FromPath extracts a segment of the path after the service's name.
	FromPath
	// FromQuery extracts the value of a query parameter.
	FromQuery
	// FromHeader extracts the value of a header.
	FromHeader
)

// Rule extracts the routing key from a request. The zero Rule extracts none.
type Rule struct {
	from    Source
	name    string
	segment int
}

// PathRule returns a rule that uses a segment of the path after the service's name
// as the key. Segments are counted from zero.
func PathRule(segment int) Rule { return Rule{from: FromPath, segment: segment} }

// QueryRule returns a rule that uses the query parameter name as the key.
func QueryRule(name string) Rule { return Rule{from: FromQuery, name: name} }

// HeaderRule returns a rule that uses the header name as the key.
func HeaderRule(name string) Rule { return Rule{from: FromHeader, name: name} }

// maxKeyLength is the largest length of a routing key, in bytes.
const maxKeyLength = 512

// key returns the routing key of a request, or an empty string if it has none. The
// Moor-Key header takes precedence over the rule. The argument rest is the escaped
// path after the service's name, query the raw query. It returns false when the key
// is malformed.
func (r Rule) key(header http.Header, rest, query string) (string, bool) {
	if key := header.Get(calls.HeaderKey); key != "" {
		return key, isValidKey(key)
	}
	var key string
	switch r.from {
	case FromPath:
		raw := segment(rest, r.segment)
		text, err := url.PathUnescape(raw)
		if err != nil {
			return "", false
		}
		key = text
	case FromQuery:
		values, err := url.ParseQuery(query)
		if err != nil {
			return "", false
		}
		key = values.Get(r.name)
	case FromHeader:
		key = header.Get(r.name)
	case FromNone:
	}
	return key, key == "" || isValidKey(key)
}

// segment returns the segment with index n of an absolute path, or an empty string
// if the path has fewer segments.
func segment(path string, n int) string {
	path = strings.TrimPrefix(path, "/")
	for range n {
		_, rest, ok := strings.Cut(path, "/")
		if !ok {
			return ""
		}
		path = rest
	}
	first, _, _ := strings.Cut(path, "/")
	return first
}

// isValidKey reports whether a key is at most maxKeyLength bytes long and has no
// ASCII control characters.
func isValidKey(key string) bool {
	if len(key) > maxKeyLength {
		return false
	}
	for i := range len(key) {
		if key[i] < ' ' || key[i] == 0x7f {
			return false
		}
	}
	return true
}
