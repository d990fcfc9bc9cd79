package upconn

import (
	"net/http"
	"time"

	"github.com/monsoonmoor/monsoonmoor/calls"
)

// Reading is what an answer says.
type Reading uint8

// Readings.
const (
	// Mine means that the answer belongs to the call.
	Mine Reading = iota + 1
	// Stale means that the answer belongs to an earlier call.
	Stale
	// NotRun means that the upstream did not run the call and never will.
	NotRun
	// Misdirected means that another upstream has the address, which did not run
	// the call.
	Misdirected
	// NotHeld means that the upstream does not hold the call's key and did not run
	// the call.
	NotHeld
	// Garbage means that the answer can't be trusted.
	Garbage
)

// Dialect translates calls and answers.
type Dialect interface {
	// Request returns the call as the upstream expects it. Left is the time to
	// the deadline, instance the life of the upstream that the call is meant for.
	Request(call *calls.Call, left time.Duration, instance string) *http.Request
	// Read says what the head of an answer means for the call.
	Read(call *calls.Call, instance string, response *http.Response) Reading
}
