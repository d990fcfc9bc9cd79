package calls

import "net/http"

// Reason is the reason why a request was not answered. Its values are sent in the
// Moor-Reason header and are listed in the documentation.
type Reason string

// Reasons. In the names that begin with ReasonKey, the key is the Idempotency-Key.
const (
	ReasonBadRequest   Reason = "bad-request"
	ReasonNoService    Reason = "no-service"
	ReasonStarting     Reason = "starting"
	ReasonNoOwner      Reason = "no-owner"
	ReasonNoRegion     Reason = "no-region"
	ReasonNotOwner     Reason = "not-owner"
	ReasonMoving       Reason = "moving"
	ReasonFenced       Reason = "fenced"
	ReasonOverload     Reason = "overload"
	ReasonQueueTimeout Reason = "queue-timeout"
	ReasonDeadline     Reason = "deadline"
	ReasonCanceled     Reason = "canceled"
	ReasonDraining     Reason = "draining"
	ReasonUpstreamDown Reason = "upstream-down"
	ReasonUpstreamLost Reason = "upstream-lost"
	ReasonUpstreamShed Reason = "upstream-shed"
	ReasonPeerDown     Reason = "peer-down"
	ReasonPeerLost     Reason = "peer-lost"
	ReasonLoop         Reason = "loop"
	ReasonQuarantine   Reason = "quarantine"
	ReasonKeyExpired   Reason = "idempotency-expired"
	ReasonKeyReused    Reason = "idempotency-reused"
	ReasonKeyBusy      Reason = "idempotency-busy"
	ReasonKeyLost      Reason = "idempotency-lost"
	ReasonKeyNeeded    Reason = "idempotency-needed"
	ReasonTooLarge     Reason = "too-large"
)

// httpStatuses maps reasons to HTTP statuses. Reasons without an entry have the
// default status of the outcome: 503 for NotRun and 502 for Unknown.
var httpStatuses = map[Reason]int{
	ReasonBadRequest:   http.StatusBadRequest,
	ReasonNoService:    http.StatusNotFound,
	ReasonOverload:     http.StatusTooManyRequests,
	ReasonQueueTimeout: http.StatusTooManyRequests,
	ReasonUpstreamShed: http.StatusTooManyRequests,
	ReasonDeadline:     http.StatusGatewayTimeout,
	ReasonQuarantine:   http.StatusUnprocessableEntity,
	ReasonKeyReused:    http.StatusUnprocessableEntity,
	ReasonKeyExpired:   http.StatusConflict,
	ReasonKeyBusy:      http.StatusConflict,
	ReasonKeyLost:      http.StatusConflict,
	ReasonKeyNeeded:    http.StatusBadRequest,
	ReasonTooLarge:     http.StatusRequestEntityTooLarge,
}

// Status returns the HTTP status for the reason in combination with an outcome.
func (r Reason) Status(o Outcome) int {
	if status, ok := httpStatuses[r]; ok {
		return status
	}
	if o == NotRun {
		return http.StatusServiceUnavailable
	}
	return http.StatusBadGateway
}
