package mesh

import (
	"context"
	"fmt"
	"strings"
	"time"

	"github.com/monsoonmoor/monsoonmoor/evac"
	"github.com/monsoonmoor/monsoonmoor/gossip"
	"github.com/monsoonmoor/monsoonmoor/ident"
	"github.com/monsoonmoor/monsoonmoor/store"
)

// evacuationDocument is the name under which peers request the evacuations.
const evacuationDocument = "evacuations"

// evacuationGraceShare is the part of Settings.Evacuation for which calls for keys that
// were not handed over yet still run at an evacuated upstream. The rest covers the time
// that the daemon took to learn of the evacuation and that the last calls take to arrive.
const evacuationGraceShare = 0.5

// rewriteTime is how long after a restore of the store the operators' records are taken to
// be incomplete. The rest of Settings.Evacuation is left for an evacuation that begins then.
const rewriteTime = 2 * time.Second

// evacuationGrace returns how long after this daemon learned of an evacuation calls still
// run at the upstream.
func (n *Node) evacuationGrace(ordered bool) time.Duration {
	grace := time.Duration(evacuationGraceShare * float64(n.settings.Evacuation))
	if !ordered {
		return min(leavingGrace, grace)
	}
	return grace
}

// evacuationRecord converts the operators' record, if it is one of an evacuation.
func (n *Node) evacuationRecord(item store.Item) (evac.Record, bool) {
	prefix := n.ports.Config.EvacuationPrefix
	zone, ok := strings.CutPrefix(item.Key, prefix)
	if prefix == "" || !ok || zone == "" {
		return evac.Record{}, false
	}
	return evac.Record{Zone: ident.Place(zone), Offset: item.Offset, Active: len(item.Value) > 0}, true
}

// readEvacuation applies a record that evacuates a zone or takes that back.
func (n *Node) readEvacuation(item store.Item) {
	r, ok := n.evacuationRecord(item)
	if !ok || n.isRewriting() {
		return
	}
	n.changeEvacuations("store", func() bool { return n.evacuations.Apply(r) })
}

// readEvacuations applies a snapshot of the operators' records.
func (n *Node) readEvacuations(s store.Snapshot) {
	n.observeEra(store.Era(s.End), "snapshot")
	if n.isRewriting() {
		return
	}
	n.applyEvacuations(s)
}

func (n *Node) applyEvacuations(s store.Snapshot) {
	var active []evac.Record
	for _, item := range s.Items {
		if r, ok := n.evacuationRecord(item); ok {
			active = append(active, r)
		}
	}
	n.changeEvacuations("snapshot", func() bool { return n.evacuations.ApplySnapshot(active, s.End) })
}

// mergeEvacuations applies the evacuations that another daemon has sent.
func (n *Node) mergeEvacuations(data []byte) {
	if n.isRewriting() {
		return
	}
	n.changeEvacuations("peer", func() bool {
		changed, err := n.evacuations.Merge(data)
		if err != nil {
			n.log.Error(err, "invalid evacuations ignored")
		}
		return changed
	})
}

// isRewriting reports whether the operators may not have written their records again yet
// that were lost in a restore of the store. The evacuations remain until then as they were
// before it: the copy may lack some, or hold some that were taken back.
func (n *Node) isRewriting() bool {
	n.mu.Lock()
	defer n.mu.Unlock()
	return n.rewriting
}

// rereadEvacuations waits until the operators have written their records again, and then
// reads the evacuations.
func (n *Node) rereadEvacuations(era uint64) {
	timer := n.clock.NewTimer(rewriteTime)
	defer timer.Stop()
	select {
	case <-timer.Chan():
	case <-n.ctx.Done():
		return
	}
	n.retry("evacuations not read", func(ctx context.Context) error {
		s, err := n.ports.Store.Newest(ctx, n.ports.Config.Topic)
		if err != nil {
			return fmt.Errorf("read evacuations: %w", err)
		}
		n.mu.Lock()
		// A later restore has begun another wait.
		done := n.era == era
		n.rewriting = n.rewriting && !done
		n.mu.Unlock()
		if done {
			n.applyEvacuations(s)
		}
		return nil
	})
}

// changeEvacuations changes the evacuations, which change does, and their effects on this
// daemon.
func (n *Node) changeEvacuations(source string, change func() bool) {
	now := n.clock.Now()
	n.mu.Lock()
	if !change() {
		n.mu.Unlock()
		return
	}
	zones, version := n.evacuations.Zones(), n.evacuations.Version()
	own := n.evacuations.Has(n.settings.Zone)
	affected := n.upstream.setEvacuated(now, own)
	if n.machine != nil {
		n.machine.SetEvacuated(n.upstream.evacuated)
	}
	n.state.Update(func(e *gossip.Entry) { e.Versions = n.documentVersions() })
	n.notify()
	n.mu.Unlock()
	n.metrics.evacuated.Update(float64(len(zones)))
	n.log.Info("evacuations changed", "zones", zones, "version", version, "source", source, "own", own)
	if affected {
		n.broadcastState()
	}
	n.requestReconcile()
}

// setEvacuated records whether the zone of the upstream is evacuated, and reports whether
// that is new.
func (d *upstreamState) setEvacuated(now time.Time, evacuated bool) bool {
	switch {
	case evacuated && d.evacuationOver:
		// Evacuated again before the first heartbeat: the upstream has got no calls.
		d.evacuationOver = false
	case evacuated && !d.evacuated:
		d.evacuated, d.evacuatedAt = true, now
	case !evacuated && d.evacuated && !d.evacuationOver:
		d.evacuationOver = true
	default:
		return false
	}
	return true
}

// reportEvacuation updates the metric of the ranges that are still to be handed over. It
// is called with mu held.
func (n *Node) reportEvacuation() {
	rows := 0
	if n.upstream.evacuated && n.machine != nil {
		rows = len(n.machine.Table().RowsOf(n.settings.Host))
	}
	n.metrics.evacuatedRows.Update(float64(rows))
}

// encodedEvacuations returns the document of the evacuations; ok is false if there is
// none. It is called with mu held.
func (n *Node) encodedEvacuations() (data []byte, version uint64, ok bool) {
	version = n.evacuations.Version()
	if version == 0 {
		return nil, 0, false
	}
	data, err := n.evacuations.Encode()
	if err != nil {
		n.log.Error(err, "evacuations not encoded")
		return nil, 0, false
	}
	return data, version, true
}
