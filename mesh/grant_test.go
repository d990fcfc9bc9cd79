package mesh_test

import (
	"testing"
	"time"

	qt "github.com/frankban/quicktest"
)

// TestGrantsOutlastCalls checks, over several heartbeats, how long the grants of an
// upstream still last. An upstream ends the calls that outlast the grant under which
// they began, even if it was renewed meanwhile, so what is left must suffice at any
// time for a call of nine tenths of the drain time.
func TestGrantsOutlastCalls(t *testing.T) {
	c := qt.New(t)
	_, hosts := fleet(c, 3, 0)
	least := time.Hour
	for end := time.Now().Add(6 * interval); time.Now().Before(end); time.Sleep(5 * time.Millisecond) {
		for _, h := range hosts {
			h.mu.Lock()
			least = min(least, time.Until(h.until))
			h.mu.Unlock()
		}
	}
	c.Assert(least > drain*9/10, qt.IsTrue, qt.Commentf("only %s were left of a grant", least))
}
