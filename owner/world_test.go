package owner_test

import (
	"fmt"
	"math/rand/v2"
	"time"

	"github.com/monsoonmoor/monsoonmoor/atlas"
	"github.com/monsoonmoor/monsoonmoor/gossip"
	"github.com/monsoonmoor/monsoonmoor/ident"
	"github.com/monsoonmoor/monsoonmoor/lease"
	"github.com/monsoonmoor/monsoonmoor/owner"
)

const (
	step     = 10 * time.Millisecond
	interval = 300 * time.Millisecond
	// witnessTick is the time between two ticks of a daemon without keys.
	witnessTick = 100 * time.Millisecond
	hold        = time.Second
	service     = ident.Service("events")
)

var (
	epoch = time.Date(2026, 1, 2, 3, 4, 5, 0, time.UTC)
	terms = lease.Terms{Length: 1400 * time.Millisecond, Renewal: 150 * time.Millisecond, Drift: 0.05}
)

// rules selects the rules that a simulation breaks, to show that each of them
// is needed.
type rules struct {
	// earlyVotes makes witnesses vote without waiting for the lease to end.
	earlyVotes bool
	// unconditionalWrites makes the store accept writes whose condition does
	// not hold.
	unconditionalWrites bool
	// slowClocks makes the clocks of upstreams run far slower than the rules
	// allow for.
	slowClocks bool
	// ignoreRequests makes members ignore the write requests of others.
	ignoreRequests bool
	// hideHolds makes upstreams omit the ranges that they still work on from
	// their heartbeats.
	hideHolds bool
	// lateHolds makes the time of a grant that is carried out late count from then
	// instead of from its arrival.
	lateHolds bool
	// byCalls is no broken rule: keys are granted by calls to the upstreams.
	byCalls bool
	// evacuations is no broken rule: a zone with every third daemon is evacuated and
	// taken back at random.
	evacuations bool
	// restores is no broken rule: the store comes back from older copies at random.
	restores bool
	// replacements is no broken rule: machines are replaced for good at random.
	replacements bool
	// sameEra makes the store hide that it was restored.
	sameEra bool
}

// held is a range that an upstream holds.
type held struct {
	span  atlas.Span
	fence atlas.Fence
	until time.Time
}

// upstream simulates an upstream that follows the grant protocol: it holds the
// granted ranges for the granted time, counted from its heartbeat, and releases
// all others.
type upstream struct {
	life          int64
	up            bool
	number        uint64
	nextHeartbeat time.Time
	holds         []held
	released      []owner.Released
	busyUntil     time.Time
	restartAt     time.Time
	highest       map[atlas.Span]atlas.Fence
}

// daemon is one machine with its witness, its upstream, its inbox and its
// pending write.
type daemon struct {
	host ident.Host
	// service is that of the upstream, which has no keys unless it is the simulated
	// one; such a daemon is only a witness.
	service   ident.Service
	startedAt time.Time
	// removedAt is when the machine was removed for good; zero while it exists.
	removedAt time.Time
	boot      uint64
	machine   *owner.Machine
	witness   *lease.Witness
	up        bool
	restartAt time.Time
	// endsAt is when a daemon that is giving away its keys ends; stopping is
	// set until then.
	endsAt   time.Time
	stopping bool
	// frozenAt is when the daemon was frozen last.
	frozenAt         time.Time
	frozenUntil      time.Time
	partitionedUntil time.Time
	storeDownUntil   time.Time
	inbox            []gossip.Message
	nextRead         time.Time
	pendingWrite     *write
	upstream         *upstream
}

// message is a datagram in flight.
type message struct {
	from, to ident.Host
	at       time.Time
	m        gossip.Message
}

// simulation holds the daemons, the network, the store and the clock of a
// simulated fleet.
type simulation struct {
	rng           *rand.Rand
	now           time.Time
	rules         rules
	daemons       []*daemon
	inFlight      []message
	delayedWrites []*write
	newest        *atlas.Table
	// records are the tables in the store, and era counts its restores.
	records        []storedTable
	era            uint64
	storeDownUntil time.Time
	calls          []*keyCall
	// evacuated is set while the zone with every third daemon is evacuated.
	evacuated bool
	// replacedAt is when a machine was replaced last.
	replacedAt time.Time
	// lossless disables the random loss of datagrams.
	lossless bool
	// races counts the writes that lost to another one.
	races int
	// tokens holds, for each probed key, the highest fencing token under which
	// any upstream held it; holders holds that upstream.
	tokens     map[atlas.Point]atlas.Fence
	holders    map[atlas.Point]string
	violations []string
	log        []string
}

// probes are the keys whose holders are checked.
var probes = []atlas.Point{0, 1000, 9000, 20000, 33000, 48000, 65535}

func newSimulation(seed uint64, size int, r rules) *simulation {
	w := &simulation{
		rng: rand.New(rand.NewPCG(seed, 77)), now: epoch, rules: r, newest: atlas.New(service),
		tokens: make(map[atlas.Point]atlas.Fence), holders: make(map[atlas.Point]string),
	}
	if r.restores {
		w.era = 1
	}
	for i := range size {
		w.add(fmt.Sprintf("h%d", i), service)
	}
	return w
}

// add adds a machine and starts its daemon, and its upstream if that has keys.
func (w *simulation) add(host string, of ident.Service) *daemon {
	d := &daemon{host: ident.Host(host), service: of, upstream: &upstream{}}
	w.daemons = append(w.daemons, d)
	w.start(d)
	if of == service {
		w.startUpstream(d)
	}
	return d
}

func (w *simulation) start(d *daemon) {
	d.boot, d.startedAt = uint64(w.now.UnixMilli()), w.now
	self := ident.NewIncarnation(d.host, d.boot)
	opts := []owner.Option{
		owner.WithTerms(terms), owner.WithHold(hold), owner.WithSeed(w.rng.Uint64()), owner.WithDocument(tableDocument),
	}
	if w.now.Equal(epoch) {
		opts = append(opts, owner.WithFirstStart())
	}
	if w.rules.byCalls {
		opts = append(opts, owner.WithCalls())
	}
	d.machine = owner.New(self, service, w.now, opts...)
	d.machine.SetEvacuated(w.isEvacuated(d))
	witnessTerms := terms
	if w.rules.earlyVotes {
		witnessTerms.Length = 0
	}
	d.witness = lease.NewWitness(self, witnessTerms, w.now)
	d.up, d.stopping, d.inbox, d.pendingWrite = true, false, nil, nil
	d.nextRead = w.now.Add(w.delay(100))
}

func (w *simulation) startUpstream(d *daemon) {
	*d.upstream = upstream{life: w.now.UnixMilli(), up: true, nextHeartbeat: w.now.Add(w.delay(200)),
		highest: make(map[atlas.Span]atlas.Fence)}
}

func (w *simulation) delay(ms int) time.Duration {
	return time.Duration(1+w.rng.IntN(ms)) * time.Millisecond
}

func (w *simulation) find(host ident.Host) *daemon {
	for _, d := range w.daemons {
		if d.host == host {
			return d
		}
	}
	return nil
}

func (w *simulation) runs(d *daemon) bool { return d.up && !w.now.Before(d.frozenUntil) }

func (w *simulation) reaches(a, b *daemon) bool {
	return !w.now.Before(a.partitionedUntil) && !w.now.Before(b.partitionedUntil)
}

func (w *simulation) storeUp(d *daemon) bool {
	return !w.now.Before(w.storeDownUntil) && !w.now.Before(d.storeDownUntil) && !w.now.Before(d.partitionedUntil)
}

// live returns the gossip entries that a daemon has: those of all daemons that
// run and that it can reach, and of those that it only takes for live.
func (w *simulation) live(d *daemon) []gossip.Entry {
	entries := make([]gossip.Entry, 0, len(w.daemons))
	for _, o := range w.daemons {
		if o != d && (!w.runs(o) || !w.reaches(d, o)) && !w.mistakes(d, o) {
			continue
		}
		e := gossip.Entry{Inc: ident.NewIncarnation(o.host, o.boot), Service: o.service, Slots: 10, Condition: gossip.Absent}
		if _, present, leaving := o.machine.Upstream(); present {
			e.Condition = gossip.Ready
			if leaving || w.isEvacuated(o) {
				e.Condition = gossip.Draining
			}
			if o.stopping {
				e.Condition = gossip.Stopping
			}
		}
		if w.rules.restores {
			e.Versions = []gossip.Version{{Name: tableDocument, Number: o.machine.Table().Version()}}
		}
		entries = append(entries, e)
	}
	return entries
}

// advance runs the simulation for one step of 10 ms.
func (w *simulation) advance() {
	w.now = w.now.Add(step)
	w.restartEnded()
	w.deliver()
	for _, d := range w.daemons {
		w.heartbeat(d)
		w.tick(d)
	}
	w.runCalls()
	w.applyWrites()
	w.check()
}

func (w *simulation) restartEnded() {
	for _, d := range w.daemons {
		if !d.endsAt.IsZero() && !w.now.Before(d.endsAt) {
			d.endsAt, d.up, d.restartAt = time.Time{}, false, w.now.Add(w.delay(500))
		}
		if !d.removedAt.IsZero() {
			continue
		}
		if !d.up && !w.now.Before(d.restartAt) {
			w.start(d)
		}
		if d.service == service && !d.upstream.up && !w.now.Before(d.upstream.restartAt) {
			w.startUpstream(d)
		}
	}
}

func (w *simulation) send(from *daemon, to ident.Host, m gossip.Message) {
	w.inFlight = append(w.inFlight, message{from: from.host, to: to, at: w.now.Add(w.delay(30)), m: m})
}

func (w *simulation) deliver() {
	var left []message
	for _, f := range w.inFlight {
		if w.now.Before(f.at) {
			left = append(left, f)
			continue
		}
		from, to := w.find(f.from), w.find(f.to)
		if to == nil || !to.up || !w.reaches(from, to) || (!w.lossless && w.rng.IntN(20) == 0) {
			continue
		}
		to.inbox = append(to.inbox, f.m)
	}
	w.inFlight = left
}

func (w *simulation) handle(d *daemon, m gossip.Message) {
	self := ident.NewIncarnation(d.host, d.boot)
	switch {
	case m.Renewal != nil && m.IsOutdated(d.machine.Table().Era()):
	case m.Renewal != nil:
		reply := gossip.Message{From: self, Renewed: m.Renewal}
		if !d.witness.Renew(w.now, m.From) {
			reply = gossip.Message{From: self, Vote: &gossip.Ballot{Owner: m.From, Witness: self}}
		}
		w.send(d, m.From.Host, reply)
	case m.Renewed != nil:
		d.machine.RecordRenewal(m.From, m.Renewed.Number)
	case m.Ballot != nil:
		if d.witness.Vote(w.now, m.Ballot.Owner, m.Ballot.Witness) {
			w.send(d, m.From.Host, gossip.Message{From: self, Vote: m.Ballot})
		}
	case m.Request != nil:
		if !w.rules.ignoreRequests {
			d.machine.AddRequest(w.now, *m.Request)
		}
	case m.Vote != nil:
		d.machine.RecordVote(m.Vote.Owner, m.Vote.Witness)
		if m.Vote.Owner.Host == d.host {
			d.machine.RecordFenced(m.Vote.Witness, m.Vote.Owner)
		}
	}
}

// tick delivers a daemon's messages and lets it act.
func (w *simulation) tick(d *daemon) {
	if !w.runs(d) {
		return
	}
	inbox := d.inbox
	d.inbox = nil
	for _, m := range inbox {
		w.handle(d, m)
	}
	if !w.now.Before(d.nextRead) && w.storeUp(d) {
		d.nextRead = w.now.Add(w.delay(200))
		w.readStore(d)
	}
	if w.rules.restores && w.rng.IntN(10) == 0 {
		w.fetchFromPeer(d)
	}
	if d.service != service && w.now.Sub(epoch)%witnessTick > 0 {
		return
	}
	a := d.machine.Tick(w.now, w.live(d))
	if a.ReadStore && w.storeUp(d) {
		w.readStore(d)
	}
	for _, m := range a.Messages {
		w.send(d, m.To, m.Message)
	}
	for _, n := range a.Notes {
		w.log = append(w.log, fmt.Sprintf("%6d %s %s %v", w.now.Sub(epoch).Milliseconds(), d.host, n.Text, n.Pairs))
	}
	if a.Proposal != nil {
		d.pendingWrite = &write{proposal: a.Proposal, at: w.now.Add(w.delay(40)), lost: w.rng.IntN(10) == 0}
	}
	w.sendCommands(d)
	w.finishWrite(d)
}

func (w *simulation) addViolation(format string, args ...any) {
	w.violations = append(w.violations, fmt.Sprintf("at %d ms: %s",
		w.now.Sub(epoch).Milliseconds(), fmt.Sprintf(format, args...)))
}

// check adds a violation for each probed key that two upstreams hold at the
// same time.
func (w *simulation) check() {
	for _, p := range probes {
		holder := ident.Host("")
		for _, d := range w.daemons {
			if !d.upstream.up || !d.upstream.has(w.now, p) {
				continue
			}
			if holder != "" {
				w.addViolation("%s and %s hold key %d", holder, d.host, p)
			}
			holder = d.host
		}
	}
}

func (u *upstream) has(now time.Time, p atlas.Point) bool {
	for _, h := range u.holds {
		if h.span.Contains(p) && now.Before(h.until) {
			return true
		}
	}
	return false
}

// isHeld reports whether some upstream holds a key.
func (w *simulation) isHeld(p atlas.Point) bool {
	for _, d := range w.daemons {
		if d.upstream.up && d.upstream.has(w.now, p) {
			return true
		}
	}
	return false
}

// held returns how many of the probed keys some upstream holds.
func (w *simulation) held() int {
	n := 0
	for _, p := range probes {
		if w.isHeld(p) {
			n++
		}
	}
	return n
}
