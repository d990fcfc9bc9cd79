package mesh

import (
	"time"

	"github.com/monsoonmoor/monsoonmoor/strain"
)

// watchStrain measures how late this daemon's timers are. Callers are kept away
// while it is strained.
func (n *Node) watchStrain() {
	lateness := n.scope.Gauge("mesh_late_seconds")
	for n.ctx.Err() == nil {
		due := n.clock.Now().Add(strain.SampleTime)
		timer := n.clock.NewTimer(strain.SampleTime)
		select {
		case <-timer.Chan():
		case <-n.ctx.Done():
			timer.Stop()
			return
		}
		now := n.clock.Now()
		changed := n.strain.Sample(now, now.Sub(due))
		late := n.strain.Late()
		lateness.Update(late.Seconds())
		if changed {
			running, waiting, _ := n.gate.State()
			n.log.Info("readiness for callers changed", "strained", n.strain.Strained(),
				"late", late.Round(time.Millisecond).String(), "running", running, "waiting", waiting)
		}
	}
}

// wait returns how long a call of another daemon is expected to wait here, for the
// processor and for a slot.
func (n *Node) wait() time.Duration { return n.gate.Wait() + n.strain.Late() }

// strainedPart is the part of the upstream's capacity that a strained daemon can
// pass calls to.
const strainedPart = 0.3

// load returns the rate of calls for the upstream beside this daemon, and the rate
// that both together can serve, per second.
func (n *Node) load() (offered, capacity float64) {
	offered, capacity = n.gate.Load()
	if n.strain.Strained() {
		capacity *= strainedPart
	}
	return offered, capacity
}
