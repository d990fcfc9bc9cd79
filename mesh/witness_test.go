package mesh_test

import (
	"testing"
	"time"

	qt "github.com/frankban/quicktest"
)

// The test guards against witnesses that are gone: two daemons are lost, those with keys are
// restarted while the others still know of the lost ones, and then the owner of all keys and
// one more are lost. The other daemon with keys must get them.
func TestOwnerStartsBesideLostDaemons(t *testing.T) {
	c := qt.New(t)
	_, hosts := fleet(c, 2, 5)
	keyed, lost, left := hosts[:2], hosts[2:4], hosts[4:]
	for _, h := range lost {
		h.close()
	}
	for _, h := range keyed {
		h.stop()
		c.Assert(h.node.Close(), qt.IsNil)
		h.start(c)
		awaitServed(c, keyed)
	}
	left[0].close()
	keyed[0].close()
	begun := time.Now()
	for _, key := range sampleKeys {
		eventually(c, func() bool { return call(keyed[1].node, key) == nil })
	}
	t.Logf("all keys are served again after %v", time.Since(begun))
}
