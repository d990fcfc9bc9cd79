package spread

import (
	"github.com/monsoonmoor/monsoonmoor/ident"
	"github.com/monsoonmoor/monsoonmoor/wire"
)

// Rate is the measured load of one slot that the member owns.
type Rate struct {
	Slot ident.Slot
	// PerSecond is the load in requests per second.
	PerSecond float64
}

// Peer is another member of the service with the load that it has reported.
type Peer struct {
	Inc  ident.Incarnation
	Load wire.Load
}

// maxPressure caps the pressure. Above it, the length of the queue shows how long an overload has lasted rather
// than how large it is.
const maxPressure = 1.25

// Pressure returns the number of running and queued requests relative to the concurrency limit, at most 1.25. It
// is zero for a member without a limit, which accepts no slots.
func Pressure(l wire.Load) float64 {
	if l.Limit <= 0 {
		return 0
	}
	return min(maxPressure, (l.Busy+l.Queued)/l.Limit)
}

// perRequest returns by how much one more request per second raises the pressure of a member with the given
// concurrency limit, estimated from the busy time per request in l. It is zero when l has no load to estimate
// it from.
func perRequest(l wire.Load, limit float64) float64 {
	if l.Rate <= 0 || limit <= 0 {
		return 0
	}
	return l.Busy / l.Rate / limit
}

// acceptsSlots reports whether a member with load l can be offered slots of a service.
func acceptsSlots(l wire.Load, service ident.Service) bool {
	return l.Service == service && !l.Leaving && l.Limit > 0
}
