package upconn

import (
	"net/http"
	"time"

	"github.com/monsoonmoor/monsoonmoor/calls"
)

// AnswerKind is the classification of an answer with regard to the call that awaits it.
type AnswerKind uint8

// Readings.
const (
	// Matched means that the answer belongs to the call.
	Matched AnswerKind = iota + 1
	// Stale means that the answer belongs to an earlier call.
	Stale
	// NotRun means that the upstream has not run the call and will not run it.
	NotRun
	// Misdirected means that another instance of the upstream answered at the
	// address. It has not run the call.
	Misdirected
	// KeyNotHeld means that the upstream does not hold the call's key. It has not run
	// the call.
	KeyNotHeld
	// Invalid means that the answer is invalid: nothing can be concluded from it, so
	// the call may have run.
	Invalid
)

// LoadDialect is implemented by dialects of upstreams that report their load.
type LoadDialect interface {
	// Slowness returns how long work takes at the upstream at present, in proportion
	// to the usual time; 0 if the answer does not say. The error tells why a report
	// can't be used.
	Slowness(response *http.Response) (float64, error)
}

// Dialect is the upstream's application protocol on top of HTTP: it encodes calls as
// requests and classifies answers.
type Dialect interface {
	// Request returns the HTTP request for a call. The argument left is the time to
	// the deadline, instance identifies the run of the upstream's process for which
	// the call is intended.
	Request(call *calls.Call, left time.Duration, instance string) *http.Request
	// Classify classifies an answer to the call by its status and header, without reading
	// its body.
	Classify(call *calls.Call, instance string, response *http.Response) AnswerKind
	// Identifies reports whether the header of an answer names the call.
	Identifies(call *calls.Call, response *http.Response) bool
}
