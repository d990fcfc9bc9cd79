package mesh

import (
	"time"

	"github.com/monsoonmoor/monsoonmoor/cpulag"
)

// monitorLateness measures how late this daemon's timers fire. While they are too late
// the daemon reports itself as not ready, so that callers use others.
func (n *Node) monitorLateness() {
	lateness := n.scope.Gauge("mesh_late_seconds")
	for n.ctx.Err() == nil {
		due := n.clock.Now().Add(cpulag.SampleInterval)
		timer := n.clock.NewTimer(cpulag.SampleInterval)
		select {
		case <-timer.Chan():
		case <-n.ctx.Done():
			timer.Stop()
			return
		}
		now := n.clock.Now()
		changed := n.timerLag.Sample(now, now.Sub(due))
		late := n.timerLag.Lateness()
		lateness.Update(late.Seconds())
		if changed {
			running, waiting, _ := n.gate.State()
			n.log.Info("readiness for callers changed", "strained", n.timerLag.Starved(),
				"late", late.Round(time.Millisecond).String(), "running", running, "waiting", waiting)
		}
	}
}

// expectedWait returns how long a call from another daemon is expected to wait here,
// for the processor and for a slot.
func (n *Node) expectedWait() time.Duration { return n.gate.LongestWait() + n.timerLag.Lateness() }

// strainedCapacityShare is the part of the upstream's capacity that a daemon with too
// little processor time can forward calls to.
const strainedCapacityShare = 0.3

// load returns the rate of calls for the upstream beside this daemon, and the rate that
// daemon and upstream together can serve, per second.
func (n *Node) load() (offered, capacity float64) {
	offered, capacity = n.gate.Load()
	if n.timerLag.Starved() {
		capacity *= strainedCapacityShare
	}
	return offered, capacity
}
