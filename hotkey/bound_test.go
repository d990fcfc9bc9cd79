package hotkey_test

import (
	"testing"
	"time"

	qt "github.com/frankban/quicktest"

	"github.com/monsoonmoor/monsoonmoor/hotkey"
	"github.com/monsoonmoor/monsoonmoor/ident"
)

// TestTrackedSlotsAreBounded guards against unbounded memory: it records
// requests for far more pinned slots than may be tracked. A forgotten slot must
// no longer have a rate.
func TestTrackedSlotsAreBounded(t *testing.T) {
	c := qt.New(t)
	tracker := hotkey.New(4096, hotkey.WithMaxPins(64))
	tracker.EndInterval(start)
	for i := range 20000 {
		tracker.Record(ident.Slot(i), 1)
	}
	tracker.EndInterval(start.Add(time.Second))
	tracked := make(map[ident.Slot]bool)
	for slot := range tracker.Rates() {
		tracked[slot] = true
	}
	c.Assert(len(tracked) <= 4096+64, qt.IsTrue, qt.Commentf("%d slots tracked", len(tracked)))
	c.Assert(tracked[1], qt.IsTrue)

	tracker.Forget(1)
	tracker.EndInterval(start.Add(2 * time.Second))
	for slot := range tracker.Rates() {
		c.Assert(slot, qt.Not(qt.Equals), ident.Slot(1))
	}
}
