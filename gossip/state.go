package gossip

import (
	"cmp"
	"math/rand/v2"
	"slices"
	"time"

	"github.com/cespare/xxhash/v2"

	"github.com/monsoonmoor/monsoonmoor/ident"
)

// Timings of the exchange.
type Timings struct {
	// Interval is the time between two rounds.
	Interval time.Duration
	// Fanout is the number of daemons that each round reaches.
	Fanout int
	// Suspect is how long a counter may stand still before its daemon is taken
	// for lost.
	Suspect time.Duration
	// Forget is how long a lost daemon is still written to.
	Forget time.Duration
}

// DefaultTimings returns timings with which news reaches a fleet of a hundred
// within a second, and a loss is noticed within three.
func DefaultTimings() Timings {
	return Timings{
		Interval: 200 * time.Millisecond,
		Fanout:   3,
		Suspect:  1800 * time.Millisecond,
		Forget:   2 * time.Minute,
	}
}

const (
	// maxEntries is the number of entries in one message, and maxBeats that of
	// counters: they keep a datagram near the usual size of a packet.
	maxEntries = 8
	maxBeats   = 100
	// tellNews is how often a daemon passes on that another one runs anew or has
	// changed its condition.
	tellNews = 6
)

// peer is what is known of another host.
type peer struct {
	entry Entry
	// beat is the highest counter heard of, at least that of the entry.
	beat uint64
	run  uint32
	// heard is when the counter last rose.
	heard time.Time
	// told is how often the newest change of run or condition was passed on.
	told int
	// seed marks an address that nothing was heard from yet.
	seed bool
}

// State is one daemon's knowledge of the fleet. It is not safe for concurrent
// use.
type State struct {
	timings Timings
	self    Entry
	peers   map[ident.Host]*peer
	runs    map[uint32]*peer
	rng     *rand.Rand
	order   []ident.Host
	// sorted holds the hosts of all peers in order; nil after a change.
	sorted []ident.Host
	// turn is where the next message's counters begin, cursor where its entries do.
	turn, cursor int
}

// NewState returns the knowledge of a daemon that has heard of nobody. Seed
// seeds the choice of targets.
func NewState(self Entry, timings Timings, seed uint64) *State {
	return &State{
		timings: timings,
		self:    self,
		peers:   make(map[ident.Host]*peer),
		runs:    make(map[uint32]*peer),
		rng:     rand.New(rand.NewPCG(seed, seed)),
	}
}

// Self returns the daemon's own entry.
func (s *State) Self() Entry { return s.self }

// Update changes the daemon's own entry.
func (s *State) Update(change func(*Entry)) {
	change(&s.self)
	s.self.Beat++
}

// Seed adds the address of a daemon that may be there.
func (s *State) Seed(now time.Time, inc ident.Incarnation, addr string) {
	if inc.Host == s.self.Inc.Host || addr == "" || addr == s.self.Addr {
		return
	}
	if p, ok := s.peers[inc.Host]; ok {
		if p.seed {
			p.entry.Addr = addr
		}
		return
	}
	s.peers[inc.Host] = &peer{entry: Entry{Inc: inc, Addr: addr}, heard: now, seed: true}
	s.sorted = nil
}

// Merge takes what another daemon told, and returns the hosts whose run or
// condition has changed.
func (s *State) Merge(now time.Time, entries []Entry) []ident.Host {
	var changed []ident.Host
	for _, e := range entries {
		if e.Inc.Host == "" || e.Inc.Host == s.self.Inc.Host {
			continue
		}
		p, ok := s.peers[e.Inc.Host]
		if !ok {
			p = &peer{seed: true}
			s.peers[e.Inc.Host] = p
			s.sorted = nil
		}
		if !p.seed && !e.newer(p.entry) {
			continue
		}
		if p.seed || p.entry.Inc != e.Inc || p.entry.Condition != e.Condition {
			changed = append(changed, e.Inc.Host)
			p.told = 0
		}
		s.renew(now, p, e)
	}
	return changed
}

// renew replaces what is known of a host by a newer entry.
func (s *State) renew(now time.Time, p *peer, e Entry) {
	if run := runOf(e.Inc); run != p.run {
		delete(s.runs, p.run)
		p.run, p.beat = run, 0
		s.runs[run] = p
	}
	if e.Beat > p.beat {
		p.beat, p.heard = e.Beat, now
	}
	p.entry, p.seed = e, false
}

// runOf returns the short name of a run of a daemon.
func runOf(inc ident.Incarnation) uint32 {
	return uint32(xxhash.Sum64String(inc.String()))
}

// Count takes the counters that another daemon has heard of, and returns the runs
// that are not known here.
func (s *State) Count(now time.Time, beats []Beat) []uint32 {
	var unknown []uint32
	for _, b := range beats {
		p, ok := s.runs[b.Run]
		switch {
		case !ok && b.Run != runOf(s.self.Inc):
			unknown = append(unknown, b.Run)
		case ok && b.Count > p.beat:
			p.beat, p.heard = b.Count, now
		}
	}
	return unknown
}

// Beats returns the counters that a message carries: all that are known, or a part
// of them in turn.
func (s *State) Beats() []Beat {
	hosts := s.hosts()
	n := min(len(hosts), maxBeats)
	beats := make([]Beat, 0, n)
	for i := range n {
		p := s.peers[hosts[(s.turn+i)%len(hosts)]]
		if !p.seed {
			beats = append(beats, Beat{Run: p.run, Count: p.beat})
		}
	}
	s.turn += n
	return beats
}

// hosts returns the hosts that are known, in order. It must not be changed.
func (s *State) hosts() []ident.Host {
	if s.sorted == nil {
		s.sorted = make([]ident.Host, 0, len(s.peers))
		for host := range s.peers {
			s.sorted = append(s.sorted, host)
		}
		slices.Sort(s.sorted)
	}
	return s.sorted
}

// Targets returns the entries of the daemons that this round writes to. Every
// live daemon has its turn; one lost daemon is tried as well.
func (s *State) Targets(now time.Time) []Entry {
	s.forget(now)
	var targets []Entry
	for live := s.count(now); len(targets) < min(live, s.timings.Fanout); {
		host := s.next()
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

func compareHosts(a, b Entry) int { return cmp.Compare(a.Inc.Host, b.Inc.Host) }

// next returns the next host in a random order that holds every host once.
func (s *State) next() ident.Host {
	if len(s.order) == 0 {
		s.order = slices.Clone(s.hosts())
		s.rng.Shuffle(len(s.order), func(i, k int) { s.order[i], s.order[k] = s.order[k], s.order[i] })
	}
	host := s.order[len(s.order)-1]
	s.order = s.order[:len(s.order)-1]
	return host
}

// count returns the number of live peers.
func (s *State) count(now time.Time) int {
	n := 0
	for _, p := range s.peers {
		if s.isLive(p, now) {
			n++
		}
	}
	return n
}

func (s *State) forget(now time.Time) {
	for host, p := range s.peers {
		if now.Sub(p.heard) > s.timings.Forget {
			delete(s.peers, host)
			delete(s.runs, p.run)
			s.sorted = nil
		}
	}
}

// Digest returns what the daemon tells another: its own entry, then news, then
// others in turn.
func (s *State) Digest(to ident.Host) []Entry {
	hosts := s.hosts()
	entries := make([]Entry, 0, maxEntries)
	entries = append(entries, s.self)
	for i := range hosts {
		host := hosts[(s.cursor+i)%len(hosts)]
		p := s.peers[host]
		if host != to && !p.seed && p.told < tellNews && len(entries) < maxEntries {
			p.told++
			entries = append(entries, p.entry)
		}
	}
	for i := 0; i < len(hosts) && len(entries) < maxEntries; i++ {
		s.cursor++
		host := hosts[s.cursor%len(hosts)]
		known := slices.ContainsFunc(entries, func(e Entry) bool { return e.Inc.Host == host })
		if p := s.peers[host]; host != to && !p.seed && !known {
			entries = append(entries, p.entry)
		}
	}
	return entries
}

// Entries returns the entries of the given runs, as far as they are known.
func (s *State) Entries(runs []uint32) []Entry {
	var entries []Entry
	for _, run := range runs[:min(len(runs), maxEntries)] {
		if p, ok := s.runs[run]; ok {
			entries = append(entries, p.entry)
		}
	}
	return entries
}

// isLive reports whether a peer's counter has risen lately.
func (s *State) isLive(p *peer, now time.Time) bool {
	return !p.seed && now.Sub(p.heard) < s.timings.Suspect
}

// Find returns what is known of a host, and whether it is live.
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

// Silent returns how long nothing new was heard of a host; ok is false for an
// unknown one.
func (s *State) Silent(now time.Time, host ident.Host) (d time.Duration, ok bool) {
	p, ok := s.peers[host]
	if !ok {
		return 0, false
	}
	return now.Sub(p.heard), true
}

// Live returns the entries of all live daemons, this one's included, in the
// order of their hosts.
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
