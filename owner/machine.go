package owner

import (
	"math/rand/v2"
	"slices"
	"time"

	"github.com/monsoonmoor/monsoonmoor/atlas"
	"github.com/monsoonmoor/monsoonmoor/gossip"
	"github.com/monsoonmoor/monsoonmoor/ident"
	"github.com/monsoonmoor/monsoonmoor/lease"
	"github.com/monsoonmoor/monsoonmoor/plan"
)

// Machine is the decision code of one member. It is not safe for concurrent use.
type Machine struct {
	host    ident.Host
	boot    uint64
	service ident.Service
	terms   lease.Terms
	hold    time.Duration
	heat    *plan.Heat
	fleet   *plan.Heat
	rng     *rand.Rand

	started time.Time
	// now is the time of the last tick.
	now      time.Time
	table    *atlas.Table
	read     bool
	holder   *lease.Holder
	upstream upstream
	// tenure counts the lives of the upstream that this daemon saw end: the
	// fencing token of a grant is the row's plus the tenure.
	tenure   atlas.Fence
	releases []*release
	// stopping is set once the daemon gives everything away to end.
	stopping bool
	// moved is when the last move for load began, looked when it was last
	// considered.
	moved, looked time.Time
	// steady averages the offered rate since ownChanged, when this member's keys
	// changed last.
	steady     *plan.Steady
	ownChanged time.Time

	// renewals holds when each renewal was sent, by its number.
	renewals map[uint64]time.Time
	number   uint64
	renewed  time.Time
	// candidates are the witnesses that the next version should name.
	candidates []ident.Incarnation
	picked     time.Time
	ranks      map[ident.Host]uint64
	// refused holds the witnesses that have voted against the lease.
	refused map[ident.Incarnation]bool

	suspects map[ident.Host]*suspect
	unowned  time.Time

	// requests are what other members asked this one to write, by host.
	requests map[ident.Host]request
	// asked is when this member asked the scribe last, joining and leaving since
	// when it wants to join or leave.
	asked, joining, leaving time.Time
	bookings                ledger

	proposal *atlas.Table
	// heard is the highest version of the table that anyone has told of.
	heard  uint64
	writes uint64
	// quiet is when the next proposal may be made.
	quiet time.Time
	// joinAt is when the member may first try to join.
	joinAt time.Time
	live   []gossip.Entry
	notes  []Note
}

// upstream is what is known of the upstream beside the daemon.
type upstream struct {
	life   int64
	id     string
	number uint64
	// beat is when the last heartbeat came.
	beat    time.Time
	present bool
	leaving bool
	// departed is set when the upstream has said that it ends.
	departed bool
	holds    []Held
	// granted is what the last answer granted, and until when by this daemon's
	// clock.
	granted []Granted
	until   time.Time
	// free is set when the upstream is known to have ended.
	free bool
}

// release is a planned move under way.
type release struct {
	span atlas.Span
	to   ident.Host
	// after is the heartbeat whose answer no longer granted the range; a later
	// one tells whether it is still held.
	after  uint64
	asked  bool
	done   bool
	tokens []Released
	since  time.Time
	// ended is when the upstream was known to have let go.
	ended time.Time
}

// suspect is a member whose lease may have ended.
type suspect struct {
	owner ident.Incarnation
	votes map[ident.Incarnation]bool
	since time.Time
	asked time.Time
}

// Option changes a Machine.
type Option func(*Machine)

// WithTerms sets the terms of leases; all members must agree on them.
func WithTerms(terms lease.Terms) Option { return func(m *Machine) { m.terms = terms } }

// WithHold sets the longest time for which the upstream is granted keys.
func WithHold(hold time.Duration) Option { return func(m *Machine) { m.hold = hold } }

// WithHeat sets the load of the keys as the upstream sees it, and as callers of
// this daemon make it for all keys.
func WithHeat(own, fleet *plan.Heat) Option {
	return func(m *Machine) { m.heat, m.fleet = own, fleet }
}

// WithSeed seeds the spreading of duties over time.
func WithSeed(seed uint64) Option {
	return func(m *Machine) { m.rng = rand.New(rand.NewPCG(seed, seed)) }
}

// New returns the machine of a daemon that starts now.
func New(self ident.Incarnation, service ident.Service, now time.Time, opts ...Option) *Machine {
	m := &Machine{
		host: self.Host, boot: self.Boot, service: service,
		terms: lease.DefaultTerms(), hold: lease.DefaultLength,
		heat: plan.NewHeat(), fleet: plan.NewHeat(),
		rng:      rand.New(rand.NewPCG(self.Boot, 1)),
		started:  now,
		table:    atlas.New(service),
		renewals: make(map[uint64]time.Time),
		suspects: make(map[ident.Host]*suspect), requests: make(map[ident.Host]request),
		refused: make(map[ident.Incarnation]bool),
		ranks:   make(map[ident.Host]uint64), steady: plan.NewSteady(),
	}
	for _, opt := range opts {
		opt(m)
	}
	m.holder = lease.NewHolder(m.terms)
	return m
}

// Lease returns the identity under which the member holds its lease. It changes
// when witnesses have voted against the one before.
func (m *Machine) Lease() ident.Incarnation { return ident.NewIncarnation(m.host, m.boot) }

// Table returns the newest version of the table that was read.
func (m *Machine) Table() *atlas.Table { return m.table }

// Known reports whether the table was read.
func (m *Machine) Known() bool { return m.read }

// LeaseUntil returns when the lease ends; the zero time when none is held.
func (m *Machine) LeaseUntil() time.Time {
	if !m.IsMember() {
		return time.Time{}
	}
	return m.until()
}

// IsMember reports whether the newest table names this run.
func (m *Machine) IsMember() bool {
	member, ok := m.table.Member(m.host)
	return ok && member.Inc == m.Lease()
}

// Read takes a version of the table. Older ones are ignored.
func (m *Machine) Read(now time.Time, t *atlas.Table) {
	if m.read && t.Version() <= m.table.Version() {
		return
	}
	m.read = true
	before := m.table
	m.table = t
	if member, ok := t.Member(m.host); ok && member.Inc == m.Lease() {
		m.holder.Name(member.Witnesses)
	}
	if m.proposal != nil && t.Version() >= m.proposal.Version() {
		m.proposal = nil
	}
	if !slices.Equal(atlas.Spans(before.RowsOf(m.host)), atlas.Spans(t.RowsOf(m.host))) {
		m.steady.Reset()
		m.ownChanged = now
	}
	m.bookings.book(now, before, t)
	m.renewTenure(before.Version())
	m.dropStaleReleases()
	for host, s := range m.suspects {
		if member, ok := t.Member(host); !ok || member.Inc != s.owner {
			delete(m.suspects, host)
		}
	}
	writer, _ := t.Writer()
	m.note("ownership table read", "version", t.Version(), "before", before.Version(), "writer", writer.String(),
		"members", len(t.Members()), "rows", len(t.Rows()), "own", len(t.RowsOf(m.host)))
	if len(t.Unowned()) == 0 {
		m.unowned = time.Time{}
	} else if m.unowned.IsZero() {
		m.unowned = now
	}
}

// renewTenure starts the tenure anew when all ranges are new: nothing was granted
// under their fencing tokens.
func (m *Machine) renewTenure(before uint64) {
	for _, row := range m.table.RowsOf(m.host) {
		if row.Fence < atlas.FenceAfter(before) {
			return
		}
	}
	m.tenure = 0
}

// Heard takes the news that there is a version of the table.
func (m *Machine) Heard(version uint64) { m.heard = max(m.heard, version) }

// dropStaleReleases forgets moves of keys that are no longer this member's.
func (m *Machine) dropStaleReleases() {
	own := atlas.Spans(m.table.RowsOf(m.host))
	if !m.IsMember() {
		own = nil
	}
	m.releases = slices.DeleteFunc(m.releases, func(r *release) bool {
		return len(atlas.Without([]atlas.Span{r.span}, own)) > 0
	})
}

// Where returns where a key is, and its owner if that is another host.
func (m *Machine) Where(now time.Time, p atlas.Point) (Place, ident.Host) {
	member, ok := m.table.Owner(p)
	if !ok {
		return Nowhere, ""
	}
	if member.Inc.Host != m.host {
		return Elsewhere, member.Inc.Host
	}
	if member.Inc != m.Lease() || !m.upstream.present {
		return Soon, ""
	}
	for _, r := range m.releases {
		// The upstream holds the key until the answer that takes it away.
		if r.asked && r.span.Has(p) {
			return Leaving, r.to
		}
	}
	if !now.Before(m.upstream.until) {
		return Soon, ""
	}
	for _, g := range m.upstream.granted {
		if g.Span.Has(p) {
			return Here, ""
		}
	}
	return Soon, ""
}

// Upstream returns the present life of the upstream.
func (m *Machine) Upstream() (id string, present, leaving bool) {
	return m.upstream.id, m.upstream.present, m.upstream.leaving
}

// IsReleasing reports whether the upstream was told to let go of keys and has not
// yet said that it has.
func (m *Machine) IsReleasing() bool {
	return slices.ContainsFunc(m.releases, func(r *release) bool { return r.asked && !r.done })
}

// Stop makes the member give all its keys away, since the daemon ends.
func (m *Machine) Stop(time.Time) { m.stopping = true }

// Left reports whether the member owns nothing any more.
func (m *Machine) Left() bool {
	_, ok := m.table.Member(m.host)
	return m.read && !ok
}

// note records a decision.
func (m *Machine) note(text string, pairs ...any) {
	m.notes = append(m.notes, Note{Text: text, Pairs: pairs})
}
