package holds_test

import (
	"testing"
	"time"

	qt "github.com/frankban/quicktest"

	"github.com/monsoonmoor/monsoonmoor/atlas"
	"github.com/monsoonmoor/monsoonmoor/holds"
)

const maxHold = time.Second

var epoch = time.Date(2026, 3, 4, 5, 6, 7, 0, time.UTC)

// fixture is a book with a clock of its own and no limit by a lease.
type fixture struct {
	*qt.C
	book *holds.Book
	now  time.Time
}

func newFixture(t *testing.T) *fixture {
	return &fixture{C: qt.New(t), book: holds.New(maxHold), now: epoch}
}

func (f *fixture) next(wanted ...holds.Range) []holds.Command {
	return f.book.Next(f.now, wanted, f.now.Add(time.Hour))
}

// one returns the only command that is due.
func (f *fixture) one(wanted ...holds.Range) holds.Command {
	f.Helper()
	commands := f.next(wanted...)
	f.Assert(commands, qt.HasLen, 1)
	return commands[0]
}

func (f *fixture) record(cmd holds.Command, outcome holds.Outcome) {
	f.book.Record(f.now, cmd, outcome)
}

// hold grants the ranges, one after the other.
func (f *fixture) hold(ranges ...holds.Range) {
	f.Helper()
	for _, cmd := range f.next(ranges...) {
		f.record(cmd, holds.Accepted)
	}
	for _, r := range ranges {
		f.Assert(f.book.Held(f.now, r.Span.From), qt.IsTrue)
	}
}

func keys(from, to atlas.Point, fence atlas.Fence) holds.Range {
	return holds.Range{Span: atlas.NewSpan(from, to), Fence: fence}
}

// TestGrantCountsFromBothEnds checks that a key is served no longer than the upstream
// holds it at the least, and counts as held for as long as it does at the most.
func TestGrantCountsFromBothEnds(t *testing.T) {
	f := newFixture(t)
	r := keys(0, 99, 64)
	cmd := f.one(r)
	f.Assert(f.book.Held(f.now, 5), qt.IsFalse)
	f.now = f.now.Add(200 * time.Millisecond)
	f.record(cmd, holds.Accepted)
	f.Assert(f.book.Held(epoch.Add(999*time.Millisecond), 5), qt.IsTrue)
	f.Assert(f.book.Held(epoch.Add(maxHold), 5), qt.IsFalse)
	f.Assert(f.book.MayHold(epoch.Add(1219*time.Millisecond), r.Span), qt.IsTrue)
	f.Assert(f.book.MayHold(epoch.Add(1220*time.Millisecond), r.Span), qt.IsFalse)
}

// TestUnansweredGrantOutlastsRelease grants a range twice, the second time without an
// answer, and releases it. The upstream may carry out the second grant after the
// release, so the range must not go to another upstream before that grant ends.
func TestUnansweredGrantOutlastsRelease(t *testing.T) {
	for _, test := range []struct {
		name    string
		outcome holds.Outcome
		free    time.Duration
	}{
		{"answered", holds.Accepted, 0},
		{"certainly not sent", holds.Unsent, 0},
		{"no answer", holds.Unanswered, 1020 * time.Millisecond},
	} {
		t.Run(test.name, func(t *testing.T) {
			f := newFixture(t)
			r := keys(0, 99, 64)
			f.hold(r)
			f.now = f.now.Add(500 * time.Millisecond)
			f.record(f.one(r), test.outcome)
			lost := f.now
			f.now = f.now.Add(60 * time.Millisecond)
			release := f.one()
			f.Assert(release.Kind, qt.Equals, holds.Release)
			f.record(release, holds.Accepted)
			if test.free > 0 {
				f.Assert(f.book.MayHold(lost.Add(test.free-time.Millisecond), r.Span), qt.IsTrue)
			}
			f.Assert(f.book.MayHold(lost.Add(max(test.free, 60*time.Millisecond)), r.Span), qt.IsFalse)
		})
	}
}

// TestReleaseWaitsForGrant withdraws a range while its renewal is in flight: a renewal
// that arrives after the release would bring the range back.
func TestReleaseWaitsForGrant(t *testing.T) {
	f := newFixture(t)
	r := keys(0, 99, 64)
	f.hold(r)
	f.now = f.now.Add(500 * time.Millisecond)
	renewal := f.one(r)
	f.Assert(renewal.Renewal, qt.IsTrue)
	f.Assert(f.next(), qt.HasLen, 0)
	f.Assert(f.book.Held(f.now, 5), qt.IsFalse)
	f.record(renewal, holds.Accepted)
	f.Assert(f.one().Kind, qt.Equals, holds.Release)
	f.Assert(f.next(), qt.HasLen, 0)
	// Wanted again: nothing is granted before the release is answered.
	f.Assert(f.next(r), qt.HasLen, 0)
}

// TestPartIsReleased takes a part out of a range. The rest stays held and is renewed
// without the part.
func TestPartIsReleased(t *testing.T) {
	f := newFixture(t)
	f.hold(keys(0, 99, 64))
	rest := []holds.Range{keys(0, 39, 64), keys(50, 99, 64)}
	release := f.one(rest...)
	f.Assert(release.Range, qt.Equals, keys(40, 49, 64))
	f.Assert(f.book.Held(f.now, 45), qt.IsFalse)
	f.Assert(f.book.Held(f.now, 39), qt.IsTrue)
	f.record(release, holds.Accepted)
	f.Assert(f.book.MayHold(f.now, release.Range.Span), qt.IsFalse)
	f.now = f.now.Add(500 * time.Millisecond)
	var renewed []holds.Range
	for _, cmd := range f.next(rest...) {
		renewed = append(renewed, cmd.Range)
	}
	f.Assert(renewed, qt.DeepEquals, rest)
}

// TestLostReleaseIsRepeated checks that a release without an answer is sent again, and
// that the range is free at the latest when its grant has ended.
func TestLostReleaseIsRepeated(t *testing.T) {
	f := newFixture(t)
	r := keys(0, 99, 64)
	f.hold(r)
	f.record(f.one(), holds.Unanswered)
	f.Assert(f.next(), qt.HasLen, 0)
	f.now = f.now.Add(100 * time.Millisecond)
	again := f.one()
	f.Assert(again.Kind, qt.Equals, holds.Release)
	f.Assert(f.book.MayHold(epoch.Add(1019*time.Millisecond), r.Span), qt.IsTrue)
	f.Assert(f.book.MayHold(epoch.Add(1020*time.Millisecond), r.Span), qt.IsFalse)
}

// TestRefusedTokenIsNotSentAgain checks that a fencing token that the upstream has
// refused is not used for the range again, and that a higher one is.
func TestRefusedTokenIsNotSentAgain(t *testing.T) {
	f := newFixture(t)
	r := keys(0, 99, 64)
	f.record(f.one(r), holds.Refused)
	f.Assert(f.book.Refused(), qt.DeepEquals, []holds.Range{r})
	f.now = f.now.Add(10 * time.Second)
	f.Assert(f.next(r), qt.HasLen, 0)
	f.Assert(f.one(keys(0, 99, 128)).Range.Fence, qt.Equals, atlas.Fence(128))
	f.Assert(f.book.Refused(), qt.HasLen, 0)
}

// TestNeighboursAreRenewedTogether grants three adjacent ranges, two of them under the
// same fencing token, and expects one renewal for those two.
func TestNeighboursAreRenewedTogether(t *testing.T) {
	f := newFixture(t)
	first := holds.Range{Span: atlas.NewSpan(0, 9), Fence: 64, Token: "t1"}
	second := holds.Range{Span: atlas.NewSpan(10, 19), Fence: 64, Token: "t2"}
	f.hold(first, second, keys(20, 29, 128))
	f.now = f.now.Add(500 * time.Millisecond)
	var renewed []holds.Range
	for _, cmd := range f.next(first, second, keys(20, 29, 128)) {
		renewed = append(renewed, cmd.Range)
	}
	f.Assert(renewed, qt.DeepEquals, []holds.Range{keys(0, 19, 64), keys(20, 29, 128)})
}

// TestLeaseLimitsGrants checks that no grant outlasts the lease by a clock that runs
// slow, and that none is sent shortly before its end.
func TestLeaseLimitsGrants(t *testing.T) {
	f := newFixture(t)
	r := keys(0, 99, 64)
	f.Assert(f.book.Next(f.now, []holds.Range{r}, f.now.Add(50*time.Millisecond)), qt.HasLen, 0)
	commands := f.book.Next(f.now, []holds.Range{r}, f.now.Add(510*time.Millisecond))
	f.Assert(commands, qt.HasLen, 1)
	f.Assert(commands[0].Hold, qt.Equals, 500*time.Millisecond)
}

// TestNotHeldIsGrantedAgain reports that the upstream refused a request for a key that
// it should hold, as after a release that was carried out late.
func TestNotHeldIsGrantedAgain(t *testing.T) {
	f := newFixture(t)
	r := keys(0, 99, 64)
	f.hold(r)
	f.Assert(f.next(r), qt.HasLen, 0)
	f.book.RecordNotHeld(7)
	f.Assert(f.book.Held(f.now, 7), qt.IsFalse)
	f.Assert(f.one(r).Kind, qt.Equals, holds.Grant)
}

// TestFewCommandsAtOnce checks that a book with many ranges keeps few calls in flight.
func TestFewCommandsAtOnce(t *testing.T) {
	f := newFixture(t)
	var ranges []holds.Range
	for i := range 20 {
		ranges = append(ranges, keys(uint32(i)*10, uint32(i)*10+4, 64))
	}
	commands := f.next(ranges...)
	f.Assert(commands, qt.HasLen, 4)
	f.Assert(f.next(ranges...), qt.HasLen, 0)
	f.record(commands[0], holds.Accepted)
	f.Assert(f.next(ranges...), qt.HasLen, 1)
}

// TestResetForgets checks that the outcome of a command for an upstream that has ended
// has no effect on its next life.
func TestResetForgets(t *testing.T) {
	f := newFixture(t)
	r := keys(0, 99, 64)
	before := f.one(r)
	f.book.Reset()
	f.Assert(f.book.MayHold(f.now, r.Span), qt.IsFalse)
	after := f.one(keys(0, 99, 65))
	f.record(before, holds.Accepted)
	f.Assert(f.book.Held(f.now, 5), qt.IsFalse)
	f.record(after, holds.Accepted)
	f.Assert(f.book.Held(f.now, 5), qt.IsTrue)
}
