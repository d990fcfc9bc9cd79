package verify

// OutcomeNotSent is the outcome of an attempt for which no connection could
// be made.
const OutcomeNotSent = "not-sent"

// Attempt is one request as its caller saw it: one line of JSON in the
// caller's history. A resend is an attempt of its own.
type Attempt struct {
	// Request is the id sent in the Moor-Request header, different for each
	// attempt.
	Request string `json:"request"`
	// Call is the id that the attempts of one call share.
	Call        string `json:"call"`
	Idempotency string `json:"idempotency,omitempty"`
	Key         string `json:"key"`
	Method      string `json:"method"`
	Target      string `json:"target"`
	// Intended, Start and End are in nanoseconds since the Unix epoch.
	Intended int64 `json:"intended"`
	Start    int64 `json:"start"`
	End      int64 `json:"end"`
	// Outcome is the value of the Moor-Outcome header, "unknown" where no
	// answer came, or OutcomeNotSent.
	Outcome string `json:"outcome"`
	Reason  string `json:"reason,omitempty"`
	Status  int    `json:"status,omitempty"`
	// Owner is the host that answered.
	Owner    string `json:"owner,omitempty"`
	Replayed bool   `json:"replayed,omitempty"`
	// Counter is the key's counter that the answer carried.
	Counter uint64 `json:"counter,omitempty"`
	// Fault says what is wrong with an answer: of another request, or cut.
	Fault string `json:"fault,omitempty"`
}
