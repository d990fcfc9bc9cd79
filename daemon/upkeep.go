package daemon

import (
	"time"

	"github.com/monsoonmoor/monsoonmoor/core"
	"github.com/monsoonmoor/monsoonmoor/grant"
)

// upkeepInterval is the time between two rounds of small duties.
const upkeepInterval = time.Second

// upkeep does the small duties that need no ring of their own.
func (d *Daemon) upkeep() {
	for d.sleep(upkeepInterval) {
		d.journal.Sweep()
		if report := d.quarantine.Report(); report != nil {
			d.tellSuspects(report)
		}
	}
}

// UpstreamUp implements grant.Listener.
func (d *Daemon) UpstreamUp(a grant.Announcement) {
	if err := d.executor.Attach(a); err != nil {
		d.log.Error(err, "upstream not attached", "instance", a.Instance)
		return
	}
	d.order(core.UpstreamUp{Slots: uint32(a.Slots), Checks: a.ChecksTokens, Cold: a.Cold})
	select {
	case d.announce <- struct{}{}:
	default:
	}
}

// UpstreamDown implements grant.Listener.
func (d *Daemon) UpstreamDown(instance string) {
	d.executor.Detach(instance)
	d.order(core.UpstreamDown{})
}

// UpstreamChanged implements grant.Listener.
func (d *Daemon) UpstreamChanged(before, _ string) {
	d.executor.Replaced(before)
}

// UpstreamLeaving implements grant.Listener.
func (d *Daemon) UpstreamLeaving(string) {
	d.startDrain()
}
