package model

import (
	"fmt"
	"math/rand/v2"
	"slices"
	"time"

	"github.com/monsoonmoor/monsoonmoor/core"
	"github.com/monsoonmoor/monsoonmoor/ident"
	"github.com/monsoonmoor/monsoonmoor/table"
	"github.com/monsoonmoor/monsoonmoor/wire"
)

// Service is the service that all members of a world serve.
const Service ident.Service = "rounds"

// Config describes a world.
type Config struct {
	// Hosts is the number of hosts, spread over Places places.
	Hosts, Places int
	// Slots is the number of hash slots of the service.
	Slots uint32
	Seed  uint64
	// Boots is the boot number before the first; who is whose witness varies
	// with it.
	Boots uint64
	// Tick is the time between two steps of a member's clock.
	Tick time.Duration
	// Timings are the members' timings; zero means core.DefaultTimings.
	Timings core.Timings
	// Drift bounds by how much a clock's rate is off, as a fraction.
	Drift float64
	// Noise makes messages, appends and reads late, lost or repeated.
	Noise Noise
}

// Noise gives the chances of faults and the bounds of delays.
type Noise struct {
	Lose, Repeat float64
	// Skip is the chance that a host does not run during a tick.
	Skip float64
	// Delay, Append and Lag bound how late a message, an append and a read
	// may be, beside the one tick that each takes.
	Delay, Append, Lag time.Duration
}

// World is a set of members with a log and a network.
type World struct {
	cfg   Config
	rng   *rand.Rand
	base  time.Time
	now   time.Duration
	hosts []*Host
	// byName gives the index of a host.
	byName map[ident.Host]int
	log    Log
	mail   []letter
	check  checker
	count  Counts
	trace  trace
	// Cut reports whether messages from one host to another are lost.
	Cut func(from, to int) bool
	// Founded ends the checks, as the members' table is not the log's any more.
	Founded bool
	// Measure sets whether the size of messages and records is counted.
	Measure bool
}

// letter is a message on its way.
type letter struct {
	at       time.Duration
	from, to int
	msg      wire.Message
}

// New returns a world whose hosts are down.
func New(cfg Config) *World {
	if cfg.Tick == 0 {
		cfg.Tick = 50 * time.Millisecond
	}
	if cfg.Timings == (core.Timings{}) {
		cfg.Timings = core.DefaultTimings()
	}
	cfg.Places = max(1, cfg.Places)
	w := &World{
		cfg:  cfg,
		rng:  rand.New(rand.NewPCG(cfg.Seed, cfg.Seed)),
		base: time.Unix(1_700_000_000, 0),
	}
	w.log = newLog(w)
	w.check = newChecker()
	w.byName = map[ident.Host]int{}
	for i := range cfg.Hosts {
		name := ident.Host(fmt.Sprintf("host-%d", i))
		w.byName[name] = i
		w.hosts = append(w.hosts, &Host{
			world: w, index: i, name: name, boots: cfg.Boots, upstream: true,
			rate:  1 + cfg.Drift*(2*w.rng.Float64()-1),
			place: ident.Place(fmt.Sprintf("place-%d", i%cfg.Places)),
		})
	}
	return w
}

// Host returns a host by its index.
func (w *World) Host(i int) *Host { return w.hosts[i] }

// Log returns the world's log.
func (w *World) Log() *Log { return &w.log }

// Now returns the true time since the world began.
func (w *World) Now() time.Duration { return w.now }

// Count returns what was done so far.
func (w *World) Count() Counts { return w.count }

// Err returns the first broken property; nil when there is none.
func (w *World) Err() error { return w.check.err }

// StartAll starts all hosts that are down.
func (w *World) StartAll() {
	for _, h := range w.hosts {
		if h.machine == nil {
			h.Start()
		}
	}
}

// Run lets time pass until d is over or a property is broken.
func (w *World) Run(d time.Duration) {
	end := w.now + d
	for w.now < end && w.check.err == nil {
		w.Advance()
	}
}

// RunUntil lets time pass until done reports true, for at most d. It reports
// whether done did.
func (w *World) RunUntil(d time.Duration, done func() bool) bool {
	end := w.now + d
	for w.now < end && w.check.err == nil {
		if done() {
			return true
		}
		w.Advance()
	}
	return done()
}

// Advance lets one tick pass.
func (w *World) Advance() {
	w.now += w.cfg.Tick
	w.deliver()
	w.log.land()
	for _, i := range w.rng.Perm(len(w.hosts)) {
		if w.rng.Float64() >= w.cfg.Noise.Skip {
			w.hosts[i].tick()
		}
	}
}

// deliver hands over the messages that are due, in random order.
func (w *World) deliver() {
	var due []letter
	w.mail = slices.DeleteFunc(w.mail, func(l letter) bool {
		if l.at > w.now {
			return false
		}
		due = append(due, l)
		return true
	})
	w.rng.Shuffle(len(due), func(i, j int) { due[i], due[j] = due[j], due[i] })
	for _, l := range due {
		h := w.hosts[l.to]
		switch {
		case w.Cut != nil && w.Cut(l.from, l.to):
		case h.paused && len(h.inbox) < maxInbox:
			h.inbox = append(h.inbox, l.msg)
		default:
			h.step(core.Received{Message: l.msg})
		}
	}
}

// maxInbox bounds what a paused host's sockets hold.
const maxInbox = 64

func (w *World) post(from int, a core.Send) {
	w.count.Messages++
	if w.Measure {
		if data, err := wire.Encode(a.Message); err == nil {
			w.count.MessageBytes += len(data)
		}
	}
	to, known := w.byName[a.To.Host]
	if !known || w.rng.Float64() < w.cfg.Noise.Lose {
		return
	}
	for {
		w.mail = append(w.mail, letter{
			at: w.now + w.upTo(w.cfg.Noise.Delay), from: from, to: to, msg: a.Message,
		})
		if w.rng.Float64() >= w.cfg.Noise.Repeat {
			return
		}
	}
}

func (w *World) upTo(d time.Duration) time.Duration {
	if d <= 0 {
		return 0
	}
	return time.Duration(w.rng.Int64N(int64(d)))
}

// Owners returns the index of the hosts that serve a slot now.
func (w *World) Owners(n ident.Slot) []int {
	var out []int
	for i, h := range w.hosts {
		if _, ok := h.Serves(n); ok {
			out = append(out, i)
		}
	}
	return out
}

// Served returns how many slots have exactly one owner that serves now.
func (w *World) Served() int {
	n := 0
	for slot := range w.cfg.Slots {
		if len(w.Owners(ident.Slot(slot))) == 1 {
			n++
		}
	}
	return n
}

// Reference returns the table that the whole log gives.
func (w *World) Reference() *table.Table { return w.log.table }
