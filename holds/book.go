package holds

import (
	"slices"
	"time"

	"github.com/monsoonmoor/monsoonmoor/atlas"
)

const (
	// ClockSlack is the fraction by which the clock of an upstream may run slow.
	ClockSlack = 0.02
	// renewShare is the fraction of a grant's duration after which it is renewed:
	// two renewals may fail before the grant ends.
	renewShare = 1.0 / 3
	// retryDelay is the pause before a command that failed is sent again.
	retryDelay = 50 * time.Millisecond
	// maxGrants and maxReleases limit the commands in flight, each of which takes
	// a connection to the upstream. Releases may wait for running requests.
	maxGrants   = 4
	maxReleases = 4
	// minHold is the shortest duration for which a range is granted.
	minHold = 100 * time.Millisecond
)

// hold is a range of keys and what is known of the upstream's grant for it.
type hold struct {
	Range
	// held is when the grant ends at the earliest; zero while no grant was
	// accepted.
	held time.Time
	// ends is when the last of the grants ends at the latest.
	ends time.Time
	// late is when the last of the unanswered grants ends at the latest.
	late time.Time
	// renewAt and retryAt are when the next renewal is due, and the earliest time of
	// the next command after one that failed.
	renewAt, retryAt time.Time
	// pending is the number of the command in flight, zero if there is none.
	pending     uint64
	pendingKind Kind
	// unwanted is set for a range that the upstream is to release, released once it
	// has answered that, refused once it has refused the fencing token.
	unwanted, released, refused bool
}

// idle reports whether no command is in flight.
func (h *hold) idle() bool { return h.pending == 0 }

// mayHold reports whether the upstream may hold the range at now or later.
func (h *hold) mayHold(now time.Time) bool {
	switch {
	case h.pendingKind == Grant:
		return true
	case h.released:
		return now.Before(h.late)
	}
	return now.Before(h.ends)
}

// Book holds the ranges of one life of an upstream. It is not safe for concurrent
// use.
type Book struct {
	maxHold time.Duration
	// holds are in ascending order and do not overlap.
	holds  []hold
	number uint64
	// answered is when the upstream last answered a command.
	answered time.Time
}

// New returns an empty book. Ranges are granted for maxHold at a time.
func New(maxHold time.Duration) *Book { return &Book{maxHold: maxHold} }

// Reset forgets everything, because the upstream has ended.
func (b *Book) Reset() { *b = Book{maxHold: b.maxHold, number: b.number} }

// Held reports whether the upstream holds a key at now.
func (b *Book) Held(now time.Time, key atlas.Point) bool {
	h := b.find(key)
	return h != nil && !h.unwanted && now.Before(h.held)
}

// MayHold reports whether the upstream may hold a key of the range at now or
// later.
func (b *Book) MayHold(now time.Time, span atlas.Span) bool {
	return slices.ContainsFunc(b.holds, func(h hold) bool { return h.Span.Overlaps(span) && h.mayHold(now) })
}

// End returns when the last grant ends at the latest, or the zero time if there
// was none. A grant in flight counts from now.
func (b *Book) End(now time.Time) time.Time {
	var end time.Time
	for _, h := range b.holds {
		end = latest(end, h.ends)
		if h.pendingKind == Grant {
			end = latest(end, now.Add(stretch(b.maxHold)))
		}
	}
	return end
}

// Answered returns when the upstream last answered a command.
func (b *Book) Answered() time.Time { return b.answered }

// Refused returns the ranges whose fencing tokens the upstream has refused.
func (b *Book) Refused() []Range {
	var out []Range
	for _, h := range b.holds {
		if h.refused && !h.unwanted {
			out = append(out, h.Range)
		}
	}
	return out
}

// RecordNotHeld records that the upstream has refused a request because it does not
// hold the key. The range is granted again.
func (b *Book) RecordNotHeld(key atlas.Point) {
	if h := b.find(key); h != nil {
		h.held = time.Time{}
	}
}

// Next returns the commands that are due, given the ranges that the upstream is to
// hold. No grant lasts beyond until. The caller must report the outcome of each
// command by Record.
func (b *Book) Next(now time.Time, wanted []Range, until time.Time) []Command {
	b.prune(now)
	b.match(now, wanted)
	b.merge()
	var commands []Command
	grants, releases := b.inFlight()
	hold := min(b.maxHold, time.Duration(float64(until.Sub(now))/(1+ClockSlack))).Truncate(time.Millisecond)
	for i := range b.holds {
		h := &b.holds[i]
		switch {
		case !h.idle() || now.Before(h.retryAt):
		case h.unwanted && !h.released && releases < maxReleases:
			releases++
			commands = append(commands, b.issue(now, h, Command{Kind: Release}))
		case h.unwanted || h.refused || hold < minHold || grants >= maxGrants:
		case h.held.IsZero() || !now.Before(h.renewAt):
			grants++
			commands = append(commands, b.issue(now, h, Command{Kind: Grant, Hold: hold, Renewal: now.Before(h.held)}))
		}
	}
	return commands
}

// issue marks a command as in flight and returns it.
func (b *Book) issue(now time.Time, h *hold, cmd Command) Command {
	b.number++
	cmd.Range, cmd.Issued, cmd.number = h.Range, now, b.number
	if cmd.Renewal || cmd.Kind == Release {
		cmd.Range.Token = ""
	}
	h.pending, h.pendingKind = b.number, cmd.Kind
	return cmd
}

// inFlight returns the numbers of grants and releases in flight.
func (b *Book) inFlight() (grants, releases int) {
	seen := make(map[uint64]bool)
	for _, h := range b.holds {
		if h.idle() || seen[h.pending] {
			continue
		}
		seen[h.pending] = true
		if h.pendingKind == Grant {
			grants++
		} else {
			releases++
		}
	}
	return grants, releases
}

// Record records the outcome of a command at now. A command from before Reset is
// ignored.
func (b *Book) Record(now time.Time, cmd Command, outcome Outcome) {
	if outcome == Accepted || outcome == Refused {
		b.answered = latest(b.answered, now)
	}
	for i := range b.holds {
		h := &b.holds[i]
		if h.pending != cmd.number {
			continue
		}
		h.pending, h.pendingKind = 0, 0
		if outcome != Accepted {
			h.retryAt = now.Add(retryDelay)
		}
		if cmd.Kind == Grant {
			h.recordGrant(now, cmd, outcome)
		} else if outcome == Accepted {
			h.released = true
		}
	}
	b.prune(now)
}

// recordGrant records the outcome of a grant. The upstream received it at now at the
// latest.
func (h *hold) recordGrant(now time.Time, cmd Command, outcome Outcome) {
	end := now.Add(stretch(cmd.Hold))
	switch outcome {
	case Accepted:
		h.held = latest(h.held, cmd.Issued.Add(cmd.Hold))
		h.ends = latest(h.ends, end)
		h.renewAt = cmd.Issued.Add(time.Duration(renewShare * float64(cmd.Hold)))
	case Unanswered:
		h.ends, h.late = latest(h.ends, end), latest(h.late, end)
	case Refused:
		h.refused, h.held = true, time.Time{}
	case Unsent:
	}
}

// prune removes the ranges that the upstream no longer holds and is not to hold.
func (b *Book) prune(now time.Time) {
	b.holds = slices.DeleteFunc(b.holds, func(h hold) bool { return h.unwanted && h.idle() && !h.mayHold(now) })
	for i := range b.holds {
		if h := &b.holds[i]; !now.Before(h.held) {
			h.held = time.Time{}
		}
	}
}

// match splits the ranges so that each is either wanted as it is or unwanted, and
// adds those that are missing.
func (b *Book) match(now time.Time, wanted []Range) {
	var out []hold
	missing := make(map[int][]atlas.Span, len(wanted))
	for i, w := range wanted {
		missing[i] = []atlas.Span{w.Span}
	}
	for _, h := range b.holds {
		rest := []atlas.Span{h.Span}
		for i, w := range wanted {
			span, ok := w.Span.Intersect(h.Span)
			if !ok || (h.unwanted && h.Fence == w.Fence) || (h.Fence != w.Fence && !h.idle()) {
				// A range that is being released is granted anew, if at all, once
				// that is done. A new token waits for the command in flight.
				if ok {
					missing[i] = atlas.Subtract(missing[i], []atlas.Span{span})
				}
				continue
			}
			part := h
			part.Span = span
			if h.Fence != w.Fence {
				part = hold{Range: Range{Span: span, Fence: w.Fence, Token: w.Token}, ends: h.ends, late: h.late}
			}
			out = append(out, part)
			rest = atlas.Subtract(rest, []atlas.Span{span})
			missing[i] = atlas.Subtract(missing[i], []atlas.Span{span})
		}
		for _, span := range rest {
			part := h
			part.Span, part.unwanted = span, true
			if part.idle() && !part.mayHold(now) {
				continue
			}
			out = append(out, part)
		}
	}
	for i, w := range wanted {
		for _, span := range missing[i] {
			out = append(out, hold{Range: Range{Span: span, Fence: w.Fence, Token: w.Token}})
		}
	}
	slices.SortFunc(out, func(a, b hold) int { return int(a.Span.From) - int(b.Span.From) })
	b.holds = out
}

// merge joins adjacent ranges that are held under the same fencing token.
func (b *Book) merge() {
	var out []hold
	for _, h := range b.holds {
		if n := len(out); n > 0 && canMerge(&out[n-1], &h) {
			last := &out[n-1]
			last.Span.To = h.Span.To
			last.held = earliest(last.held, h.held)
			last.renewAt = earliest(last.renewAt, h.renewAt)
			last.ends, last.late = latest(last.ends, h.ends), latest(last.late, h.late)
			last.retryAt = latest(last.retryAt, h.retryAt)
			continue
		}
		out = append(out, h)
	}
	b.holds = out
}

// canMerge reports whether two adjacent ranges can be renewed by one call.
func canMerge(a, b *hold) bool {
	return a.Span.To+1 == b.Span.From && a.Fence == b.Fence && a.idle() && b.idle() &&
		!a.held.IsZero() && !b.held.IsZero() && !a.unwanted && !b.unwanted
}

func (b *Book) find(key atlas.Point) *hold {
	for i := range b.holds {
		if b.holds[i].Span.Contains(key) {
			return &b.holds[i]
		}
	}
	return nil
}

// stretch returns how long a duration may last by a clock that runs slow.
func stretch(d time.Duration) time.Duration { return time.Duration(float64(d) * (1 + ClockSlack)) }

func latest(a, b time.Time) time.Time {
	if a.After(b) {
		return a
	}
	return b
}

func earliest(a, b time.Time) time.Time {
	if a.Before(b) {
		return a
	}
	return b
}
