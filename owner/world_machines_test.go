package owner_test

import (
	"fmt"
	"time"

	"github.com/monsoonmoor/monsoonmoor/gossip"
	"github.com/monsoonmoor/monsoonmoor/ident"
)

const (
	// media is a service without keys.
	media = ident.Service("media")
	// outage is how long a daemon that is rolled or killed is away.
	outage = 500 * time.Millisecond
	// replaceInterval is the least time between two machines that are replaced at random: the
	// longest faults, and twice a lease for the members to name other witnesses.
	replaceInterval = 6 * time.Second
)

// newMachines simulates machines of the keyed service and then of another one, until all
// keys are held. The seed is part of the names, which decide the order in which witnesses
// are chosen.
func newMachines(seed uint64, keyed, plain int, r rules) *simulation {
	w := newSimulation(seed, 0, r)
	w.lossless = true
	for i := range keyed {
		w.add(fmt.Sprintf("k%d-%d", i, seed/2), service)
	}
	for i := range plain {
		w.add(fmt.Sprintf("%c%d-%d", "ap"[seed%2], i, seed/2), media)
	}
	w.run(6 * time.Second)
	return w
}

// run advances the simulation by the given time.
func (w *simulation) run(length time.Duration) {
	for end := w.now.Add(length); w.now.Before(end); {
		w.advance()
	}
}

// unheld advances the simulation by the given time and returns how long a probed key had
// no holder at most, and whether all have one in the end.
func (w *simulation) unheld(length time.Duration) (longest time.Duration, held bool) {
	since := w.now
	for end := w.now.Add(length); w.now.Before(end); {
		w.advance()
		if w.held() == len(probes) {
			since = w.now
		}
		longest = max(longest, w.now.Sub(since))
	}
	return longest, w.held() == len(probes)
}

// remove removes a machine for good.
func (w *simulation) remove(d *daemon) {
	d.up, d.upstream.up, d.removedAt = false, false, w.now
}

// replace removes a machine for good and adds one of the same service with another name a
// second later.
func (w *simulation) replace(d *daemon) *daemon {
	w.remove(d)
	w.run(time.Second)
	return w.add("new-"+string(d.host), d.service)
}

// replaceAny removes a random machine for good, and adds another one.
func (w *simulation) replaceAny() {
	var present []*daemon
	for _, d := range w.daemons {
		if d.removedAt.IsZero() {
			present = append(present, d)
		}
	}
	w.replacedAt = w.now
	w.remove(present[w.rng.IntN(len(present))])
	w.add(fmt.Sprintf("h%d", len(w.daemons)), service)
}

// roll makes a daemon hand over its keys, ends it and starts it again.
func (w *simulation) roll(d *daemon) {
	w.stop(d)
	w.run(time.Second)
	d.up, d.restartAt = false, w.now.Add(outage)
	w.run(outage)
}

// kill kills daemons; their upstreams go on.
func (w *simulation) kill(daemons ...*daemon) {
	for _, d := range daemons {
		if d.removedAt.IsZero() {
			d.up, d.restartAt = false, w.now.Add(outage)
		}
	}
}

// freeze freezes daemons for a while.
func (w *simulation) freeze(length time.Duration, daemons ...*daemon) {
	for _, d := range daemons {
		d.frozenAt, d.frozenUntil = w.now, w.now.Add(length)
	}
}

// mistakes reports whether a daemon takes one that does not run for live: a daemon that
// starts hears of every one that was lost in the last two minutes, and it takes a while to
// see that their heartbeat counters do not rise.
func (w *simulation) mistakes(d, o *daemon) bool {
	lostAt := o.removedAt
	if o.up && lostAt.IsZero() {
		lostAt = o.frozenAt
	}
	t := gossip.DefaultTimings()
	return d.startedAt.After(lostAt) && w.now.Sub(lostAt) < t.Forget && w.now.Sub(d.startedAt) < t.Suspect
}

// owners returns the daemons that own keys.
func (w *simulation) owners() []*daemon {
	var owners []*daemon
	for _, d := range w.daemons {
		if len(w.newest.RowsOf(d.host)) > 0 {
			owners = append(owners, d)
		}
	}
	return owners
}
