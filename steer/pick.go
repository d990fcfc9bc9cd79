package steer

import (
	"slices"
	"time"

	"github.com/monsoonmoor/monsoonmoor/calls"
	"github.com/monsoonmoor/monsoonmoor/ident"
)

// pick returns the best of a few targets: two at random, by their capacity, and
// the near ones.
func (r *Router) pick(targets []Target, tried []ident.Host, call *calls.Call) (Target, bool) {
	now := r.clock.Now()
	r.mu.Lock()
	defer r.mu.Unlock()
	var open []Target
	for _, t := range targets {
		if slices.Contains(tried, t.Host) {
			continue
		}
		if until, ok := r.shunned[t.Host]; ok && now.Before(until) {
			continue
		}
		open = append(open, t)
	}
	if len(open) == 0 {
		for _, t := range targets {
			if !slices.Contains(tried, t.Host) {
				open = append(open, t)
			}
		}
	}
	if len(open) == 0 {
		return Target{}, false
	}
	best := r.draw(open)
	for _, t := range []Target{r.draw(open), r.draw(open)} {
		if r.cost(t, call) < r.cost(best, call) {
			best = t
		}
	}
	for _, t := range open {
		if (t.Near || t.Local) && r.cost(t, call) < r.cost(best, call) {
			best = t
		}
	}
	return best, true
}

// draw returns a random target, each with the probability of its capacity.
func (r *Router) draw(targets []Target) Target {
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

// flyingPart is the part of the time that calls on their way to a target need there
// that counts as wait: the target's own figure has most of them already.
const flyingPart = 0.25

// cost is how long a call is expected to wait at a target, and what its way
// there counts for.
func (r *Router) cost(t Target, call *calls.Call) time.Duration {
	cost := t.Wait
	if t.Capacity > 0 {
		cost += time.Duration(float64(r.flying[t.Host]) / t.Capacity * float64(time.Second) * flyingPart)
	}
	if !t.Local && !t.Near {
		cost += farCost + time.Duration(max(0, call.Length))*byteCost
	}
	return cost
}
