package owner

import (
	"math/rand/v2"
	"slices"
	"time"

	"github.com/monsoonmoor/monsoonmoor/atlas"
	"github.com/monsoonmoor/monsoonmoor/gossip"
	"github.com/monsoonmoor/monsoonmoor/holds"
	"github.com/monsoonmoor/monsoonmoor/ident"
	"github.com/monsoonmoor/monsoonmoor/lease"
	"github.com/monsoonmoor/monsoonmoor/plan"
)

// Machine decides for one member when to renew its lease, what to grant, and
// which changes of the ownership table to propose. It does no input or output.
// It is not safe for concurrent use.
type Machine struct {
	host       ident.Host
	boot       uint64
	service    ident.Service
	terms      lease.Terms
	maxHold    time.Duration
	byCalls    bool
	ownRates   *plan.Heat
	fleetRates *plan.Heat
	rng        *rand.Rand

	started time.Time
	// now is the time of the last tick.
	now      time.Time
	table    *atlas.Table
	hasTable bool
	holder   *lease.Holder
	upstream upstream
	// book tracks the grants of an upstream that takes them by calls; nil if it
	// takes them in the answers to its heartbeats.
	book *holds.Book
	// firstBoot is the boot of the first lease identity of this run.
	firstBoot uint64
	// fenceOffset counts the lives of the upstream that this daemon saw end; it
	// is reset once all ranges were assigned anew. The fencing token of a grant
	// is the row's token plus this offset.
	fenceOffset atlas.Fence
	releases    []*release
	// evacuated is set while the member's zone is evacuated, so that it gives away
	// all its keys and gets none.
	evacuated bool
	// stopping is set once the daemon is shutting down and gives away all its
	// keys.
	stopping bool
	// lastMove is when the last move for load started, lastMoveCheck when one
	// was last considered.
	lastMove, lastMoveCheck time.Time
	// avgOffered averages the offered rate since ownChanged, the time at which
	// this member's keys last changed.
	avgOffered *plan.RateAverage
	ownChanged time.Time

	// renewals maps the number of each recent renewal to the time at which it
	// was sent.
	renewals      map[uint64]time.Time
	renewalNumber uint64
	lastRenewal   time.Time
	// candidates are the witnesses that the next version of the table should
	// name.
	candidates   []ident.Incarnation
	lastPick     time.Time
	witnessRanks map[ident.Host]uint64
	// refusedBy is the set of witnesses that have voted against the lease.
	refusedBy map[ident.Incarnation]bool
	// inquiries holds the daemons that are asked to renew the lease, and those that
	// were found not to answer; givenUp counts the witnesses that were given up.
	inquiries map[ident.Incarnation]*inquiry
	givenUp   int

	suspects     map[ident.Host]*suspect
	unownedSince time.Time

	// requests holds the latest write request of each other member, by host.
	requests map[ident.Host]request
	// lastRequest is when this member last sent a request to the designated
	// writer; joiningSince and leavingSince are when it started to wait for its
	// join or leave to be written.
	lastRequest, joiningSince, leavingSince time.Time
	transfers                               transferLog

	// document is the name under which gossip entries show the version of the table
	// that a daemon has read.
	document string
	// era is the era of the store and eraSince when this daemon learned of it, storeEnd
	// the offset at which the topic of the table ends.
	era, storeEnd uint64
	eraSince      time.Time
	firstStart    bool
	// confirmed are the ranges with fencing tokens of an era before confirmBelow that
	// this member certainly owned until the restore.
	confirmed    []ownedRange
	confirmBelow uint64
	// recoveringSince is when this daemon first read a table that is being recovered,
	// readByAllSince when all others were known to have read it.
	recoveringSince, readByAllSince time.Time

	proposal *atlas.Table
	// newestVersion is the highest version of the table that has been
	// announced, whether or not it was read.
	newestVersion uint64
	writes        uint64
	// proposeAfter is the earliest time at which the next proposal may be made.
	proposeAfter time.Time
	// joinAt is the earliest time of the first attempt to join.
	joinAt time.Time
	live   []gossip.Entry
	notes  []Note
}

// upstream is the state of the upstream beside the daemon, as told by its
// heartbeats.
type upstream struct {
	life   int64
	id     string
	number uint64
	// lastHeartbeat is when the last heartbeat was received.
	lastHeartbeat time.Time
	present       bool
	leaving       bool
	// departed is set when the upstream has announced its end.
	departed bool
	holds    []Held
	// granted holds the ranges in the last answer; grantedUntil is when they
	// expire by this daemon's clock.
	granted      []holds.Range
	grantedUntil time.Time
	// ended is set when the upstream is known to have ended.
	ended bool
	// answered is set once a heartbeat was answered with a grant.
	answered bool
}

// release is a planned move in progress: the upstream is told to release a
// range, which is then assigned to another member.
type release struct {
	span atlas.Span
	to   ident.Host
	// afterHeartbeat is the number of the heartbeat whose answer first omitted
	// the range. Only later heartbeats show whether the upstream still holds
	// it.
	afterHeartbeat uint64
	withdrawn      bool
	done           bool
	tokens         []Released
	since          time.Time
	// doneAt is when the upstream was known to have released the range.
	doneAt time.Time
}

// suspect is a member whose lease may have ended, with the votes received from
// its witnesses.
type suspect struct {
	owner           ident.Incarnation
	votes           map[ident.Incarnation]bool
	since           time.Time
	lastVoteRequest time.Time
}

// Option configures a Machine.
type Option func(*Machine)

// WithTerms sets the terms of leases. All members must use the same ones.
func WithTerms(terms lease.Terms) Option { return func(m *Machine) { m.terms = terms } }

// WithHold sets the maximum time for which keys are granted to the upstream.
func WithHold(hold time.Duration) Option { return func(m *Machine) { m.maxHold = hold } }

// WithHeat sets the measured rates of calls: own as the upstream of this daemon
// gets them, fleet as callers of this daemon make them for all keys.
func WithHeat(own, fleet *plan.Heat) Option {
	return func(m *Machine) { m.ownRates, m.fleetRates = own, fleet }
}

// WithCalls makes the machine grant keys by calls to the upstream, which Commands
// returns, instead of by answers to its heartbeats.
func WithCalls() Option { return func(m *Machine) { m.byCalls = true } }

// WithDocument sets the name of the table in the versions of gossip entries.
func WithDocument(name string) Option { return func(m *Machine) { m.document = name } }

// WithFirstStart states that the whole fleet starts for the first time: there was no table
// that could be lost.
func WithFirstStart() Option { return func(m *Machine) { m.firstStart = true } }

// WithSeed seeds the random delays that spread the members' attempts to write.
func WithSeed(seed uint64) Option {
	return func(m *Machine) { m.rng = rand.New(rand.NewPCG(seed, seed)) }
}

// New returns the machine of a daemon run that starts now.
func New(self ident.Incarnation, service ident.Service, now time.Time, opts ...Option) *Machine {
	m := &Machine{
		host: self.Host, boot: self.Boot, firstBoot: self.Boot, service: service,
		terms: lease.DefaultTerms(), maxHold: lease.DefaultLength,
		ownRates: plan.NewHeat(), fleetRates: plan.NewHeat(),
		rng:      rand.New(rand.NewPCG(self.Boot, 1)),
		started:  now,
		table:    atlas.New(service),
		renewals: make(map[uint64]time.Time),
		suspects: make(map[ident.Host]*suspect), requests: make(map[ident.Host]request),
		refusedBy: make(map[ident.Incarnation]bool), inquiries: make(map[ident.Incarnation]*inquiry),
		witnessRanks: make(map[ident.Host]uint64), avgOffered: plan.NewRateAverage(),
	}
	for _, opt := range opts {
		opt(m)
	}
	m.holder = lease.NewHolder(m.terms)
	if m.byCalls {
		m.book = holds.New(m.maxHold)
	}
	return m
}

// Lease returns the identity under which the member holds its lease. A new
// identity replaces it after witnesses have voted against it.
func (m *Machine) Lease() ident.Incarnation { return ident.NewIncarnation(m.host, m.boot) }

// Table returns the newest version of the ownership table that was read.
func (m *Machine) Table() *atlas.Table { return m.table }

// Known reports whether the ownership table was read at least once.
func (m *Machine) Known() bool { return m.hasTable }

// LeaseUntil returns when the lease ends, or the zero time if this daemon is
// not a member.
func (m *Machine) LeaseUntil() time.Time {
	if !m.IsMember() {
		return time.Time{}
	}
	return m.leaseEnd()
}

// IsMember reports whether the newest table names this daemon as a member under
// its current lease identity.
func (m *Machine) IsMember() bool {
	member, ok := m.table.Member(m.host)
	return ok && member.Inc == m.Lease()
}

// Read applies a version of the ownership table. It ignores versions that are
// not newer than the last one applied.
func (m *Machine) Read(now time.Time, t *atlas.Table) {
	if m.hasTable && t.Version() <= m.table.Version() {
		return
	}
	m.hasTable = true
	before := m.table
	m.RecordEra(now, t.Era())
	if t.Era() > before.Era() || t.Era() < m.era {
		m.confirmOwn(now)
	}
	if t.Era() > before.Era() {
		// Daemons that have read this table did not renew the lease until now.
		m.inquiries = make(map[ident.Incarnation]*inquiry)
	}
	if !t.Recovering() {
		m.recoveringSince, m.readByAllSince = time.Time{}, time.Time{}
	}
	m.table = t
	if member, ok := t.Member(m.host); ok && member.Inc == m.Lease() {
		m.setWitnesses(now, member.Witnesses)
	}
	if m.proposal != nil && t.Version() >= m.proposal.Version() {
		m.proposal = nil
	}
	if !slices.Equal(atlas.Spans(before.RowsOf(m.host)), atlas.Spans(t.RowsOf(m.host))) {
		m.avgOffered.Reset()
		m.ownChanged = now
	}
	m.transfers.record(now, before, t)
	m.resetFenceOffset(before.Version())
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
		m.unownedSince = time.Time{}
	} else if m.unownedSince.IsZero() {
		m.unownedSince = now
	}
}

// resetFenceOffset sets the offset to zero when all ranges were assigned after
// version before: nothing was granted yet under their fencing tokens.
func (m *Machine) resetFenceOffset(before uint64) {
	for _, row := range m.table.RowsOf(m.host) {
		if row.Fence < atlas.FenceAfter(before) {
			return
		}
	}
	m.fenceOffset = 0
}

// RecordVersion records that a version of the ownership table exists.
func (m *Machine) RecordVersion(version uint64) { m.newestVersion = max(m.newestVersion, version) }

// dropStaleReleases removes the moves of keys that this member no longer owns.
func (m *Machine) dropStaleReleases() {
	own := atlas.Spans(m.table.RowsOf(m.host))
	if !m.IsMember() {
		own = nil
	}
	m.releases = slices.DeleteFunc(m.releases, func(r *release) bool {
		return len(atlas.Subtract([]atlas.Span{r.span}, own)) > 0
	})
}

// Locate returns where a key is served, and the other host that owns it or is
// about to.
func (m *Machine) Locate(now time.Time, p atlas.Point) (KeyStatus, ident.Host) {
	member, ok := m.table.Owner(p)
	if !ok {
		return KeyUnowned, ""
	}
	if member.Inc.Host != m.host {
		return KeyRemote, member.Inc.Host
	}
	if member.Inc != m.Lease() || !m.upstream.present {
		return KeyPending, ""
	}
	for _, r := range m.releases {
		// The upstream holds the key until it gets the answer that withdraws
		// it.
		if r.withdrawn && r.span.Contains(p) {
			return KeyReleasing, r.to
		}
	}
	if m.book != nil {
		if m.book.Held(now, p) {
			return KeyHeld, ""
		}
		return KeyPending, ""
	}
	if !now.Before(m.upstream.grantedUntil) {
		return KeyPending, ""
	}
	for _, g := range m.upstream.granted {
		if g.Span.Contains(p) {
			return KeyHeld, ""
		}
	}
	return KeyPending, ""
}

// Upstream returns the identity of the current life of the upstream and its
// state.
func (m *Machine) Upstream() (id string, present, leaving bool) {
	return m.upstream.id, m.upstream.present, m.upstream.leaving
}

// ByCalls reports whether keys are granted by calls to the upstream.
func (m *Machine) ByCalls() bool { return m.book != nil }

// IsReleasing reports whether the upstream was told to release keys and has not
// yet confirmed it.
func (m *Machine) IsReleasing() bool {
	return m.book == nil && slices.ContainsFunc(m.releases, func(r *release) bool { return r.withdrawn && !r.done })
}

// Stop makes the member give away all its keys, because the daemon is shutting
// down.
func (m *Machine) Stop(time.Time) { m.stopping = true }

// SetEvacuated sets whether the member's zone is evacuated. While it is, the member
// gives away all its keys and then leaves the table, though its upstream lives on.
func (m *Machine) SetEvacuated(evacuated bool) { m.evacuated = evacuated }

// isEnding reports whether the member gives away all its keys.
func (m *Machine) isEnding() bool { return m.stopping || m.evacuated || m.upstream.leaving }

// Left reports whether the ownership table was read and names no member on this
// host.
func (m *Machine) Left() bool {
	_, ok := m.table.Member(m.host)
	return m.hasTable && !ok
}

// note adds a decision to the notes that the next Tick returns for the log.
func (m *Machine) note(text string, pairs ...any) {
	m.notes = append(m.notes, Note{Text: text, Pairs: pairs})
}
