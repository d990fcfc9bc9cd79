package mesh

import (
	"context"
	"fmt"
	"strconv"
	"time"

	"github.com/fxamacker/cbor/v2"

	"github.com/monsoonmoor/monsoonmoor/gossip"
	"github.com/monsoonmoor/monsoonmoor/ident"
	"github.com/monsoonmoor/monsoonmoor/poison"
	"github.com/monsoonmoor/monsoonmoor/store"
	"github.com/monsoonmoor/monsoonmoor/wire"
)

const (
	// quarantineTopic is the topic in which daemons keep the calls that are quarantined, so
	// that the quarantine outlives the daemons.
	quarantineTopic = "quarantine"
	// maxPendingQuarantined is the number of changes of the quarantine that wait to be
	// written.
	maxPendingQuarantined = 64
)

// quarantined is the record of a quarantined call in the store.
type quarantined struct {
	Service     ident.Service `cbor:"1,keyasint"`
	Fingerprint uint64        `cbor:"2,keyasint"`
	Crashes     []uint64      `cbor:"3,keyasint"`
	// Until is when the quarantine ends, in milliseconds since 1970.
	Until int64 `cbor:"4,keyasint"`
}

// suspect returns the record as a report for the quarantine, whose expiry is counted from
// now. Only blocked entries are stored, so it is marked as one.
func (q *quarantined) suspect(now time.Time) wire.Suspect {
	return wire.Suspect{
		Service: q.Service, Fingerprint: q.Fingerprint, Crashes: q.Crashes,
		Alone: true, Left: time.UnixMilli(q.Until).Sub(now),
	}
}

// queueQuarantined has the entries written to the store that are quarantined, and those
// removed that were lifted. It doesn't block.
func (n *Node) queueQuarantined(report *wire.Suspects) {
	if report == nil {
		return
	}
	for _, item := range report.Items {
		if !item.Lifted && !poison.IsBlocked(item) {
			continue
		}
		select {
		case n.quarantineChanges <- item:
		default:
			n.log.Info("quarantined call not stored: too many wait", "fingerprint", item.Fingerprint)
		}
	}
}

// storeQuarantine writes the changes of the quarantine to the store. An entry is removed
// only by the daemon that has written it.
func (n *Node) storeQuarantine() {
	written := make(map[uint64]bool)
	for {
		select {
		case <-n.ctx.Done():
			return
		case item := <-n.quarantineChanges:
			if item.Lifted && !written[item.Fingerprint] {
				continue
			}
			if item.Lifted {
				delete(written, item.Fingerprint)
			} else {
				written[item.Fingerprint] = true
			}
			until := n.clock.Now().Add(item.Left)
			n.retry("quarantined call not stored", func(ctx context.Context) error {
				if n.clock.Now().After(until) {
					return nil
				}
				return n.writeQuarantined(ctx, item, until)
			})
		}
	}
}

// writeQuarantined writes one entry of the quarantine, or removes it if it was lifted.
func (n *Node) writeQuarantined(ctx context.Context, item wire.Suspect, until time.Time) error {
	var value []byte
	if !item.Lifted {
		var err error
		value, err = cbor.Marshal(quarantined{
			Service: item.Service, Fingerprint: item.Fingerprint, Crashes: item.Crashes, Until: until.UnixMilli(),
		})
		if err != nil {
			return fmt.Errorf("encode quarantined call: %w", err)
		}
	}
	w := store.Write{Topic: quarantineTopic, Key: quarantineKey(item.Fingerprint), Value: value, At: store.AnyOffset}
	if _, err := n.ports.Store.Put(ctx, w); err != nil {
		return fmt.Errorf("write quarantined call: %w", err)
	}
	return nil
}

// quarantineKey returns the key of a fingerprint in quarantineTopic.
func quarantineKey(fingerprint uint64) string { return strconv.FormatUint(fingerprint, 16) }

// restoreQuarantine reads the calls that were quarantined before this daemon started.
func (n *Node) restoreQuarantine() {
	n.retry("quarantine not read", func(ctx context.Context) error {
		s, err := n.ports.Store.Newest(ctx, quarantineTopic)
		if err != nil {
			return fmt.Errorf("read quarantine: %w", err)
		}
		n.mergeQuarantined(ctx, s.Items)
		return nil
	})
}

// mergeQuarantined adds the stored entries of this daemon's service to its quarantine and
// removes expired ones from the store.
func (n *Node) mergeQuarantined(ctx context.Context, items []store.Item) {
	now := n.clock.Now()
	report := &wire.Suspects{}
	for _, item := range items {
		var q quarantined
		if err := cbor.Unmarshal(item.Value, &q); err != nil || quarantineKey(q.Fingerprint) != item.Key {
			n.log.Info("invalid quarantine record ignored", "key", item.Key, "err", fmt.Sprint(err))
			continue
		}
		suspect := q.suspect(now)
		switch {
		case suspect.Left <= 0:
			w := store.Write{Topic: quarantineTopic, Key: item.Key, At: store.AnyOffset}
			if _, err := n.ports.Store.Put(ctx, w); err != nil {
				n.log.Info("expired quarantine record not removed", "key", item.Key, "err", err.Error())
			}
		case q.Service == n.settings.Service:
			report.Items = append(report.Items, suspect)
		}
	}
	n.quarantine.Merge(report)
	if len(report.Items) > 0 {
		n.log.Info("quarantine restored", "calls", len(report.Items))
	}
}

// sendQuarantine sends the quarantined calls to the given hosts, which may have restarted,
// if they run the same service.
func (n *Node) sendQuarantine(now time.Time, hosts []ident.Host) {
	report := n.quarantine.ReportBlocked(n.settings.Service)
	if report == nil {
		return
	}
	for _, host := range hosts {
		n.mu.Lock()
		e, ok := n.state.Find(now, host)
		n.mu.Unlock()
		if ok && host != n.settings.Host && e.Service == n.settings.Service {
			n.socket.Send(e.Addr, gossip.Message{From: n.self, Suspects: report})
		}
	}
}
