package calls

// Outcome tells a caller whether its request ran. Callers can rely on it.
type Outcome uint8

// Outcomes.
const (
	// Answered means that the upstream ran the request and that the response is its
	// answer.
	Answered Outcome = iota + 1
	// NotRun means that no upstream has run the request and none will run it.
	NotRun
	// Unknown means that the request may have run, at most once.
	Unknown
)

// String returns the value of the Moor-Outcome header for the outcome.
func (o Outcome) String() string {
	switch o {
	case Answered:
		return "answered"
	case NotRun:
		return "not-run"
	case Unknown:
		return "unknown"
	}
	return "invalid"
}

// Headers of the protocol between callers and the daemon.
const (
	// HeaderOutcome carries the Outcome. It is set on every answer.
	HeaderOutcome = "Moor-Outcome"
	// HeaderReason carries the Reason if the outcome is not answered.
	HeaderReason = "Moor-Reason"
	// HeaderKey carries the routing key of a request whose key can't be read from
	// elsewhere, such as the path. It takes precedence over other places.
	HeaderKey = "Moor-Key"
	// HeaderTimeout carries the caller's timeout, in milliseconds.
	HeaderTimeout = "Moor-Timeout"
	// HeaderIdempotency carries the caller's idempotency key.
	HeaderIdempotency = "Idempotency-Key"
	// HeaderReplayed marks an answer that was read from the idempotency journal.
	HeaderReplayed = "Moor-Replayed"
	// HeaderOwner carries the host that answered.
	HeaderOwner = "Moor-Owner"
	// HeaderRequest carries the request's id.
	HeaderRequest = "Moor-Request"
)

// Headers of the protocol between a daemon and its upstream. The daemon removes them
// from callers' requests.
const (
	// HeaderSlot carries the slot number.
	HeaderSlot = "Moor-Slot"
	// HeaderEpoch carries the fencing token.
	HeaderEpoch = "Moor-Epoch"
	// HeaderDeadline carries the time left until the deadline, in milliseconds.
	HeaderDeadline = "Moor-Deadline"
	// HeaderRan is set to "no" by an upstream that refused a request before the
	// request had any effect.
	HeaderRan = "Moor-Ran"
)
