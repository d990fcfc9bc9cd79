package gossip

import (
	"cmp"
	"math/rand/v2"
	"slices"
	"time"

	"github.com/cespare/xxhash/v2"

	"github.com/monsoonmoor/monsoonmoor/ident"
)

// Timings are the parameters of the gossip protocol.
type Timings struct {
	// Interval is the time between two gossip rounds.
	Interval time.Duration
	// Fanout is the number of live daemons that each round sends to.
	Fanout int
	// Suspect is the time without a sign of life after which a daemon counts as lost. It is also the time within which
	// a counter that others report must rise to be a sign of life.
	Suspect time.Duration
	// Forget is the time without a rise of its heartbeat counter after which a daemon is removed. Until then, a lost
	// daemon may still be sent to.
	Forget time.Duration
}

// DefaultTimings returns timings with which a change reaches a fleet of 100 daemons within 1 s and a loss is detected
// within 3 s.
func DefaultTimings() Timings {
	return Timings{
		Interval: 200 * time.Millisecond,
		Fanout:   3,
		Suspect:  1800 * time.Millisecond,
		Forget:   2 * time.Minute,
	}
}

const (
	// maxEntries and maxBeats are the maximum numbers of entries and of heartbeat counters in one message. With fewer
	// counters than daemons, a rise takes longer than the Suspect timing to reach some daemons of a fleet of 200.
	maxEntries = 8
	maxBeats   = 256
	// changeRepeats is how many times a daemon forwards a new run or a changed condition of another one with priority.
	changeRepeats = 6
)

// peer is the known state of the daemon on another host.
type peer struct {
	entry Entry
	// counter is the highest heartbeat counter received. It is at least that of the entry, because counters are also
	// sent without entries.
	counter uint64
	// runID identifies the run of the daemon; see hashRun.
	runID uint32
	// raisedAt is when the counter last rose or was first received, or when a seed address was added.
	raisedAt time.Time
	// aliveAt is the time of the last sign of life: a message of the daemon itself, or a counter that rises while others
	// report it. It is zero if there has been none.
	aliveAt time.Time
	// sent is how many times the latest change of the run or the condition was forwarded with priority.
	sent int
	// unconfirmed marks a seed address from whose daemon no entry has been received yet.
	unconfirmed bool
}

// State is one daemon's view of the fleet. It is not safe for concurrent use.
type State struct {
	timings    Timings
	self       Entry
	peers      map[ident.Host]*peer
	peersByRun map[uint32]*peer
	rng        *rand.Rand
	// shuffled holds the hosts that are left in the current random order of targets; see nextTarget.
	shuffled []ident.Host
	// sortedHosts caches the sorted hosts of all peers. It is nil after a change of the peers.
	sortedHosts []ident.Host
	// beatCursor and entryCursor are the positions in the sorted hosts from which the next message takes its
	// counters and entries.
	beatCursor, entryCursor int
}

// NewState returns the state of a daemon that knows no peers. seed initializes the random choice of targets.
func NewState(self Entry, timings Timings, seed uint64) *State {
	return &State{
		timings:    timings,
		self:       self,
		peers:      make(map[ident.Host]*peer),
		peersByRun: make(map[uint32]*peer),
		rng:        rand.New(rand.NewPCG(seed, seed)),
	}
}

// Self returns the daemon's own entry.
func (s *State) Self() Entry { return s.self }

// Update applies change to the daemon's own entry and increments its heartbeat counter.
func (s *State) Update(change func(*Entry)) {
	change(&s.self)
	s.self.Beat++
}

// Seed adds the address of a possible peer. It has no effect on peers that have already been heard from.
func (s *State) Seed(now time.Time, inc ident.Incarnation, addr string) {
	if inc.Host == s.self.Inc.Host || addr == "" || addr == s.self.Addr {
		return
	}
	if p, ok := s.peers[inc.Host]; ok {
		if p.unconfirmed {
			p.entry.Addr = addr
		}
		return
	}
	s.peers[inc.Host] = &peer{entry: Entry{Inc: inc, Addr: addr}, raisedAt: now, unconfirmed: true}
	s.sortedHosts = nil
}

// Merge merges entries received from the given daemon into the state. It returns the hosts whose run or condition has
// changed, or whose daemon is live again.
func (s *State) Merge(now time.Time, from ident.Incarnation, entries []Entry) []ident.Host {
	var changed []ident.Host
	for _, e := range entries {
		if e.Inc.Host == "" || e.Inc.Host == s.self.Inc.Host {
			continue
		}
		p, ok := s.peers[e.Inc.Host]
		if !ok {
			p = &peer{unconfirmed: true}
			s.peers[e.Inc.Host] = p
			s.sortedHosts = nil
		}
		if !p.unconfirmed && !e.supersedes(p.entry) {
			continue
		}
		wasLive := s.isLive(p, now)
		differs := p.unconfirmed || p.entry.Inc != e.Inc || p.entry.Condition != e.Condition
		if differs {
			p.sent = 0
		}
		s.replaceEntry(now, p, e, e.Inc == from)
		if differs || (!wasLive && s.isLive(p, now)) {
			changed = append(changed, e.Inc.Host)
		}
	}
	return changed
}

// replaceEntry replaces the entry of a peer with a newer one. direct is set if the peer itself has sent it.
func (s *State) replaceEntry(now time.Time, p *peer, e Entry, direct bool) {
	run := hashRun(e.Inc)
	begins := run != p.runID
	if begins {
		delete(s.peersByRun, p.runID)
		p.runID, p.counter = run, 0
		s.peersByRun[run] = p
	}
	if e.Beat > p.counter {
		s.raise(now, p, e.Beat, direct, begins)
	}
	if p.unconfirmed {
		s.addTarget(e.Inc.Host)
	}
	p.entry, p.unconfirmed = e, false
}

// addTarget adds a new host at a random place of the current order of targets, which lasts for many rounds in a large
// fleet: until a daemon is sent to, it learns nothing of the others.
func (s *State) addTarget(host ident.Host) {
	if !slices.Contains(s.shuffled, host) {
		s.shuffled = slices.Insert(s.shuffled, s.rng.IntN(len(s.shuffled)+1), host)
	}
}

// raise records a higher heartbeat counter. A counter that another daemon reports may have been received by that one at
// any time before, so it is a sign of life only if it rises while it is being reported: the daemon that it belongs to
// may have ended before its run became known here, or while this daemon was cut off.
func (s *State) raise(now time.Time, p *peer, count uint64, direct, begins bool) {
	rises := !begins && now.Sub(p.raisedAt) < s.timings.Suspect
	if direct || rises {
		p.aliveAt = now
	}
	p.counter, p.raisedAt = count, now
}

// hashRun returns a 32-bit identifier of a run of a daemon, a hash of its incarnation.
func hashRun(inc ident.Incarnation) uint32 {
	return uint32(xxhash.Sum64String(inc.String()))
}

// MergeBeats merges heartbeat counters received from another daemon. It returns the runs that this daemon does not
// know, and the hosts whose daemons are live again.
func (s *State) MergeBeats(now time.Time, beats []Beat) (unknown []uint32, found []ident.Host) {
	for _, b := range beats {
		p, ok := s.peersByRun[b.Run]
		switch {
		case !ok && b.Run != hashRun(s.self.Inc):
			unknown = append(unknown, b.Run)
		case ok && b.Count > p.counter:
			wasLive := s.isLive(p, now)
			s.raise(now, p, b.Count, false, false)
			if !wasLive && s.isLive(p, now) {
				found = append(found, p.entry.Inc.Host)
			}
		}
	}
	return unknown, found
}

// Beats returns the heartbeat counters for the next message: those of all peers that are not lost, or of maxBeats of
// them in rotation.
func (s *State) Beats(now time.Time) []Beat {
	hosts := s.hosts()
	n := min(len(hosts), maxBeats)
	beats := make([]Beat, 0, n)
	for i := range n {
		p := s.peers[hosts[(s.beatCursor+i)%len(hosts)]]
		if s.isReportable(p, now) {
			beats = append(beats, Beat{Run: p.runID, Count: p.counter})
		}
	}
	s.beatCursor += n
	return beats
}

// hosts returns the sorted hosts of all peers. The caller must not modify the slice.
func (s *State) hosts() []ident.Host {
	if s.sortedHosts == nil {
		s.sortedHosts = make([]ident.Host, 0, len(s.peers))
		for host := range s.peers {
			s.sortedHosts = append(s.sortedHosts, host)
		}
		slices.Sort(s.sortedHosts)
	}
	return s.sortedHosts
}

// Targets returns the entries of the daemons that this round sends to: up to Fanout live ones in rotation, and one
// random lost or unconfirmed one, so that a daemon that is back is found again.
func (s *State) Targets(now time.Time) []Entry {
	s.removeExpired(now)
	var targets []Entry
	for live := s.countLive(now); len(targets) < min(live, s.timings.Fanout); {
		host := s.nextTarget()
		p, ok := s.peers[host]
		if !ok || !s.isLive(p, now) || slices.ContainsFunc(targets, func(e Entry) bool { return e.Inc.Host == host }) {
			continue
		}
		targets = append(targets, p.entry)
	}
	var lost []Entry
	for _, p := range s.peers {
		if !s.isLive(p, now) {
			lost = append(lost, p.entry)
		}
	}
	if len(lost) > 0 {
		slices.SortFunc(lost, compareHosts)
		targets = append(targets, lost[s.rng.IntN(len(lost))])
	}
	return targets
}

// compareHosts orders entries by host.
func compareHosts(a, b Entry) int { return cmp.Compare(a.Inc.Host, b.Inc.Host) }

// nextTarget returns the next host of a random permutation of all hosts. It starts a new permutation when the last one
// is used up.
func (s *State) nextTarget() ident.Host {
	if len(s.shuffled) == 0 {
		s.shuffled = slices.Clone(s.hosts())
		s.rng.Shuffle(len(s.shuffled), func(i, k int) { s.shuffled[i], s.shuffled[k] = s.shuffled[k], s.shuffled[i] })
	}
	host := s.shuffled[len(s.shuffled)-1]
	s.shuffled = s.shuffled[:len(s.shuffled)-1]
	return host
}

// countLive returns the number of live peers.
func (s *State) countLive(now time.Time) int {
	n := 0
	for _, p := range s.peers {
		if s.isLive(p, now) {
			n++
		}
	}
	return n
}

// removeExpired removes the peers whose counter has not risen for longer than the Forget timing.
func (s *State) removeExpired(now time.Time) {
	for host, p := range s.peers {
		if now.Sub(p.raisedAt) > s.timings.Forget {
			delete(s.peers, host)
			delete(s.peersByRun, p.runID)
			s.sortedHosts = nil
		}
	}
}

// Digest returns the entries for the next message to a host: the daemon's own, then those with recent changes, then
// others in rotation, at most maxEntries. It contains no entries of lost daemons.
func (s *State) Digest(now time.Time, to ident.Host) []Entry {
	hosts := s.hosts()
	entries := make([]Entry, 0, maxEntries)
	entries = append(entries, s.self)
	for i := range hosts {
		host := hosts[(s.entryCursor+i)%len(hosts)]
		p := s.peers[host]
		if host != to && s.isReportable(p, now) && p.sent < changeRepeats && len(entries) < maxEntries {
			p.sent++
			entries = append(entries, p.entry)
		}
	}
	for i := 0; i < len(hosts) && len(entries) < maxEntries; i++ {
		s.entryCursor++
		host := hosts[s.entryCursor%len(hosts)]
		included := slices.ContainsFunc(entries, func(e Entry) bool { return e.Inc.Host == host })
		if p := s.peers[host]; host != to && s.isReportable(p, now) && !included {
			entries = append(entries, p.entry)
		}
	}
	return entries
}

// Entries returns the entries of the given runs that are known, at most maxEntries.
func (s *State) Entries(runs []uint32) []Entry {
	var entries []Entry
	for _, run := range runs[:min(len(runs), maxEntries)] {
		if p, ok := s.peersByRun[run]; ok {
			entries = append(entries, p.entry)
		}
	}
	return entries
}

// isLive reports whether a peer has shown a sign of life within the Suspect timing.
func (s *State) isLive(p *peer, now time.Time) bool {
	return !p.unconfirmed && now.Sub(p.aliveAt) < s.timings.Suspect
}

// isReportable reports whether other daemons are told of a peer: its counter has risen, or its run was first heard of,
// within the Suspect timing. A peer that was only heard of is reported too, so that news spreads without waiting for
// signs of life.
func (s *State) isReportable(p *peer, now time.Time) bool {
	return !p.unconfirmed && now.Sub(p.raisedAt) < s.timings.Suspect
}

// Unproven returns the entries of those of the given hosts whose daemons have shown no sign of life here, at most limit.
func (s *State) Unproven(now time.Time, hosts []ident.Host, limit int) []Entry {
	var entries []Entry
	for _, host := range hosts {
		if p, ok := s.peers[host]; ok && !p.unconfirmed && !s.isLive(p, now) && len(entries) < limit {
			entries = append(entries, p.entry)
		}
	}
	return entries
}

// Find returns the entry of the daemon on a host and whether it is live. The entry is empty for an unknown host.
func (s *State) Find(now time.Time, host ident.Host) (e Entry, live bool) {
	if host == s.self.Inc.Host {
		return s.self, true
	}
	p, ok := s.peers[host]
	if !ok {
		return Entry{}, false
	}
	return p.entry, s.isLive(p, now)
}

// SilentFor returns the time since the heartbeat counter of the daemon on a host last rose. ok is false for an unknown
// host.
func (s *State) SilentFor(now time.Time, host ident.Host) (d time.Duration, ok bool) {
	p, ok := s.peers[host]
	if !ok {
		return 0, false
	}
	return now.Sub(p.raisedAt), true
}

// Live returns the entries of all live daemons, including this one, sorted by host.
func (s *State) Live(now time.Time) []Entry {
	live := make([]Entry, 0, len(s.peers)+1)
	own := false
	for _, host := range s.hosts() {
		if !own && host > s.self.Inc.Host {
			own = true
			live = append(live, s.self)
		}
		if p := s.peers[host]; s.isLive(p, now) {
			live = append(live, p.entry)
		}
	}
	if !own {
		live = append(live, s.self)
	}
	return live
}
