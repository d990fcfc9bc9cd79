// Package calls defines a caller's request and its answer as they pass from
// the caller listener through the router to the upstream, and the three
// outcomes that a caller can rely on.
//
// # Usage
//
//	reply, err := executor.Run(ctx, call)
//	if err != nil {
//		// err is a *calls.Error: it carries the outcome and the reason.
//	}
package calls

import (
	"context"
	"io"
	"net/http"
	"time"

	"github.com/monsoonmoor/monsoonmoor/ident"
)

// Call is one request of a caller.
type Call struct {
	// ID names the request in logs and at the upstream.
	ID      string
	Service ident.Service
	// Key is the routing key; empty for a service that is not divided by key.
	Key string
	// Hash is ident.HashKey of Key.
	Hash   uint64
	Method string
	// Path is the path with query as the upstream sees it.
	Path   string
	Header http.Header
	// Body is never nil; it may be read once.
	Body io.Reader
	// Length is the body's length in bytes, or -1 when it is not known.
	Length int64
	// Deadline is the time by which the caller wants its answer.
	Deadline time.Time
	// Idempotency is the caller's Idempotency-Key; empty when there is none.
	Idempotency string
	// Hops is the number of daemons that have forwarded the call.
	Hops int

	// Host is the virtual host that the caller addressed; empty where services
	// are named in the path.
	Host string
	// Origin is the service beside which the call entered the fleet.
	Origin ident.Service
	// Point is the key of an ordered key space, if Ordered is set.
	Point   uint32
	Ordered bool
	// Terms say how the route wants the call to be treated.
	Terms Terms
	// Trail are the daemons that this one has taken the call to, for the log.
	Trail []ident.Host
}

// Keyed reports whether the call belongs to one owner.
func (c *Call) Keyed() bool {
	return c.Key != ""
}

// IsIdempotent reports whether the call's method may be repeated without an
// idempotency key, as RFC 9110 section 9.2.2 defines it.
func (c *Call) IsIdempotent() bool {
	switch c.Method {
	case http.MethodGet, http.MethodHead, http.MethodOptions, http.MethodPut, http.MethodDelete, http.MethodTrace:
		return true
	}
	return false
}

// IsReadOnly reports whether the call's method asks for no change, as RFC 9110
// section 9.2.1 defines it.
func (c *Call) IsReadOnly() bool {
	switch c.Method {
	case http.MethodGet, http.MethodHead, http.MethodOptions, http.MethodTrace:
		return true
	}
	return false
}

// Reply is an upstream's whole answer. The reader of Body gets an error, not
// io.EOF, when the answer was cut.
type Reply struct {
	Status int
	Header http.Header
	Body   io.ReadCloser
	// Length is the body's length in bytes, or -1 when it is not known.
	Length int64
	// Replayed reports an answer from the idempotency journal.
	Replayed bool
}

// Executor runs a call. An error is always a *Error.
type Executor interface {
	Run(ctx context.Context, call *Call) (*Reply, error)
}
