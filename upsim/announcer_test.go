package upsim_test

import (
	"net/http"
	"testing"

	qt "github.com/frankban/quicktest"

	"github.com/monsoonmoor/monsoonmoor/grant"
	"github.com/monsoonmoor/monsoonmoor/upsim"
)

func TestNewGrantsAreConfirmedAtOnce(t *testing.T) {
	r := newRig(t, upsim.Config{Checks: true})
	r.c.Assert(r.desk.announced().MaxDelayMillis, qt.Equals, upsim.AnnounceEvery.Milliseconds())
	r.desk.set(grant.Grants{Revision: 2, ValidMillis: 60000})
	r.clock.Advance(upsim.AnnounceEvery)
	// The clock stands still from here on.
	r.until(func() bool { return r.desk.announced().HeldRevision == 2 })
}

// A newer token makes the upstream ask anew although the daemon holds an
// answer back.
func TestNewerTokenEndsTheWait(t *testing.T) {
	r := newRig(t, upsim.Config{Checks: true})
	answer := r.desk.hold()
	r.clock.Advance(upsim.AnnounceEvery)
	<-r.desk.taken
	resp, _ := r.do("GET", "/keys/k", "", "Moor-Slot", "3", "Moor-Epoch", "6")
	r.c.Assert(resp.StatusCode, qt.Equals, http.StatusConflict)
	<-r.desk.taken
	r.desk.set(grant.Grants{Revision: 2, ValidMillis: 1000, Spans: []grant.Span{{First: 3, Last: 3, Epoch: 6}}})
	close(answer)
	r.until(func() bool { return r.Granted().Revision == 2 })
}
