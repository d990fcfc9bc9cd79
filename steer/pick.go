package steer

import (
	"slices"
	"time"

	"github.com/monsoonmoor/monsoonmoor/calls"
	"github.com/monsoonmoor/monsoonmoor/ident"
)

// pickTarget returns the target with the lowest cost among three random ones, drawn by
// capacity, and those in the same zone. Targets that were tried are left out, and so
// are those that are avoided at present, unless no others are left. It returns false if
// all targets were tried.
func (r *Router) pickTarget(targets []Target, tried []ident.Host, call *calls.Call) (Target, bool) {
	now := r.clock.Now()
	r.mu.Lock()
	defer r.mu.Unlock()
	var candidates []Target
	for _, t := range targets {
		if slices.Contains(tried, t.Host) {
			continue
		}
		if until, ok := r.avoidUntil[t.Host]; ok && now.Before(until) {
			continue
		}
		candidates = append(candidates, t)
	}
	if len(candidates) == 0 {
		for _, t := range targets {
			if !slices.Contains(tried, t.Host) {
				candidates = append(candidates, t)
			}
		}
	}
	if len(candidates) == 0 {
		return Target{}, false
	}
	best := r.drawByCapacity(candidates)
	for _, t := range []Target{r.drawByCapacity(candidates), r.drawByCapacity(candidates)} {
		if r.cost(t, call) < r.cost(best, call) {
			best = t
		}
	}
	for _, t := range candidates {
		if (t.Near || t.Local) && r.cost(t, call) < r.cost(best, call) {
			best = t
		}
	}
	return best, true
}

// drawByCapacity returns a random target, with a probability in proportion to its
// capacity.
func (r *Router) drawByCapacity(targets []Target) Target {
	sum := 0.0
	for _, t := range targets {
		sum += max(1, t.Capacity)
	}
	at := r.rng.Float64() * sum
	for _, t := range targets {
		at -= max(1, t.Capacity)
		if at < 0 {
			return t
		}
	}
	return targets[len(targets)-1]
}

// inFlightWeight is the fraction of the service time of the calls in flight to a target
// that is added to its wait. It is small because the wait that the target reports
// includes most of these calls already.
const inFlightWeight = 0.25

// cost returns the expected wait of a call at a target, plus a penalty for sending it
// to another zone. The caller holds r.mu.
func (r *Router) cost(t Target, call *calls.Call) time.Duration {
	cost := t.Wait
	if t.Capacity > 0 {
		cost += time.Duration(float64(r.inFlight[t.Host]) / t.Capacity * float64(time.Second) * inFlightWeight)
	}
	if !t.Local && !t.Near {
		cost += crossZoneCost + time.Duration(max(0, call.Length))*crossZoneByteCost
	}
	return cost
}
