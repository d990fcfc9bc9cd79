package admit

import (
	"fmt"
	"time"

	"github.com/monsoonmoor/monsoonmoor/events"
	"github.com/monsoonmoor/monsoonmoor/ident"
)

const (
	// minLimitChange is the minimum change of the limit that is reported, as a
	// fraction of the last reported value.
	minLimitChange = 0.25
	// shedQuietPeriod is the time without refused requests after which the next
	// refusal is reported again.
	shedQuietPeriod = 10 * time.Second
)

// reporter emits events about changes of the limit and about load shedding. It
// limits their number, so that not every request makes an event.
type reporter struct {
	sink      events.Sink
	service   ident.Service
	lastLimit int
	lastShed  time.Time
}

// reportLimit emits an event when the limit differs enough from the last
// reported one.
func (r *reporter) reportLimit(limit int) {
	change := float64(limit - r.lastLimit)
	if change < 0 {
		change = -change
	}
	if change == 0 || change < minLimitChange*float64(r.lastLimit) {
		return
	}
	r.sink.Emit(events.Event{
		Kind:    events.KindLimit,
		Service: r.service,
		Note:    fmt.Sprintf("concurrency limit from %d to %d", r.lastLimit, limit),
	})
	r.lastLimit = limit
}

// reportShed records that a request was refused, and emits an event for the
// first one after a quiet period.
func (r *reporter) reportShed(now time.Time) {
	quiet := now.Sub(r.lastShed) >= shedQuietPeriod
	r.lastShed = now
	if quiet {
		r.sink.Emit(events.Event{Kind: events.KindShed, Service: r.service, Note: "requests are shed"})
	}
}
