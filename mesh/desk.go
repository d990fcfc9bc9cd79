package mesh

import (
	"context"
	"errors"
	"net"
	"syscall"
	"time"

	"github.com/monsoonmoor/monsoonmoor/owner"
)

const (
	// deskTime is the time between two looks at whether the upstream is there.
	deskTime = 300 * time.Millisecond
	// doubtTime is the least time between two looks after lost calls: each costs the
	// upstream a connection.
	doubtTime = 250 * time.Millisecond
	// silentBeats is the number of heartbeats that may fail to come before the
	// upstream is looked for.
	silentBeats = 2.2
	// leavingHold is how long the answer to an upstream that leaves is held back:
	// long enough to decide where its keys go.
	leavingHold = 100 * time.Millisecond
	// probeTime bounds the opening of a connection to see whether anything
	// listens at the upstream's address.
	probeTime = 300 * time.Millisecond
	// partedTime is how long the word of an unknown upstream that it ends is kept: it
	// may serve on for many seconds. maxParted is the number of such upstreams.
	partedTime = time.Minute
	maxParted  = 64
)

// Heartbeat is what an upstream says of itself, keys included.
type Heartbeat struct {
	owner.Heartbeat
	// Slots is the number of calls that the upstream runs at once.
	Slots int
	// Cold is how much longer the upstream is slow after its start.
	Cold time.Duration
}

// desk is what is known of the upstream beside the daemon.
type desk struct {
	hold    time.Duration
	life    int64
	id      string
	number  uint64
	present bool
	leaving bool
	// departed is set when the upstream has said that it ends, outside a
	// heartbeat.
	departed bool
	// left is when the leaving was first acknowledged.
	left   time.Time
	beat   time.Time
	warmAt time.Time
	slots  int
	// waiting is the heartbeat whose answer is held back.
	waiting chan struct{}
	// parted is when each upstream said that it ends that was not known then: this
	// daemon had just started, and the upstream may still send heartbeats.
	parted map[string]time.Time
}

func newDesk(hold time.Duration) desk { return desk{hold: hold, parted: make(map[string]time.Time)} }

// part takes the word of an unknown upstream that it ends.
func (d *desk) part(now time.Time, id string) {
	for other, at := range d.parted {
		if now.Sub(at) > partedTime {
			delete(d.parted, other)
		}
	}
	if len(d.parted) < maxParted {
		d.parted[id] = now
	}
}

// begin starts a life of the upstream. One that said before that it ends still
// leaves; a later life under the same id does not.
func (d *desk) begin(now time.Time, hb Heartbeat) {
	*d = desk{hold: d.hold, life: hb.Life, id: hb.ID, parted: d.parted}
	at, ok := d.parted[hb.ID]
	if ok && now.Sub(at) <= partedTime && hb.Life <= at.UnixMilli() {
		d.leaving, d.departed, d.left = true, true, at
	}
}

// cold returns how much longer the upstream is slow.
func (d *desk) cold(now time.Time) time.Duration { return max(0, d.warmAt.Sub(now)) }

// take takes a heartbeat and reports whether it is the newest one, and whether it
// begins a new life.
func (d *desk) take(now time.Time, hb Heartbeat) (newest, begun bool) {
	switch {
	case hb.Life < d.life:
		return false, false
	case hb.Life > d.life || hb.ID != d.id:
		begun = true
		d.begin(now, hb)
	case hb.Number <= d.number:
		return false, false
	}
	d.number, d.beat, d.present = hb.Number, now, true
	if hb.Leaving && !d.leaving {
		d.left = now
	}
	d.leaving = hb.Leaving || d.departed
	d.slots = hb.Slots
	d.warmAt = now.Add(hb.Cold)
	return true, begun
}

// wake answers the waiting heartbeat when the grants should change.
func (d *desk) wake(m *owner.Machine, now time.Time) {
	if d.waiting != nil && m.WantsGrant(now) {
		close(d.waiting)
		d.waiting = nil
	}
}

// Heartbeat takes a heartbeat of the upstream and returns what it is to hold. The
// answer may be held back for a while, so that a change of grants reaches the
// upstream as soon as there is one.
func (n *Node) Heartbeat(ctx context.Context, hb Heartbeat) owner.Grant {
	now := n.clock.Now()
	n.mu.Lock()
	before, ending := n.desk.id, n.desk.leaving
	newest, begun := n.desk.take(now, hb)
	if !newest {
		n.mu.Unlock()
		n.log.Info("late heartbeat", "id", hb.ID, "life", hb.Life, "number", hb.Number)
		return owner.Grant{}
	}
	left := n.desk.left
	changed := begun || n.desk.slots != n.gateSlots() || hb.Leaving
	if n.machine != nil {
		n.machine.Heartbeat(now, hb.Heartbeat)
		if n.desk.departed {
			n.machine.Depart()
		}
	}
	wait := n.prepareWait(now)
	n.notify()
	n.mu.Unlock()
	if begun && !ending {
		n.crashed(before)
	}
	if changed {
		n.upstreamChanged(hb, begun, left.Equal(now))
	}
	n.kick()
	if wait != nil {
		limit := n.settings.answerHold()
		if hb.Leaving {
			limit = leavingHold
		}
		n.await(ctx, wait, now, limit)
	}
	return n.grant(hb)
}

func (n *Node) gateSlots() int {
	_, _, slots := n.gate.State()
	return slots
}

// prepareWait returns what ends the wait for a change of grants; nil when the
// heartbeat is to be answered at once. It is called with mu held.
func (n *Node) prepareWait(now time.Time) chan struct{} {
	if n.machine == nil || n.machine.IsReleasing() || n.machine.WantsGrant(now) {
		return nil
	}
	n.desk.waiting = make(chan struct{})
	return n.desk.waiting
}

func (n *Node) await(ctx context.Context, wait chan struct{}, since time.Time, limit time.Duration) {
	timer := n.clock.NewTimer(limit - n.clock.Now().Sub(since))
	defer timer.Stop()
	select {
	case <-wait:
		return
	case <-timer.Chan():
	case <-ctx.Done():
	case <-n.ctx.Done():
	}
	n.mu.Lock()
	defer n.mu.Unlock()
	if n.desk.waiting == wait {
		n.desk.waiting = nil
	}
}

// grant returns the answer to a heartbeat.
func (n *Node) grant(hb Heartbeat) owner.Grant {
	n.mu.Lock()
	defer n.mu.Unlock()
	if n.machine == nil || n.desk.id != hb.ID || n.desk.number != hb.Number {
		return owner.Grant{}
	}
	g := n.machine.Grant(n.clock.Now())
	n.notify()
	return g
}

// upstreamChanged notes a new state of the upstream.
func (n *Node) upstreamChanged(hb Heartbeat, begun, leaves bool) {
	if begun {
		n.pool.Renew()
		n.gate.Forget()
	}
	n.gate.Announce(hb.Slots)
	if begun || leaves {
		n.log.Info("upstream announced", "id", hb.ID, "life", hb.Life, "slots", hb.Slots, "leaving", hb.Leaving,
			"cold", hb.Cold.String(), "holds", len(hb.Holds), "new", begun)
		n.shout()
	}
}

// Leave takes an upstream's word that it ends.
func (n *Node) Leave(id string) {
	now := n.clock.Now()
	n.mu.Lock()
	known := n.desk.id == id
	if !known {
		n.desk.part(now, id)
	}
	if known && !n.desk.departed {
		if !n.desk.leaving {
			n.desk.left = now
		}
		n.desk.leaving, n.desk.departed = true, true
		if n.machine != nil {
			n.machine.Depart()
		}
	}
	n.notify()
	n.mu.Unlock()
	n.log.Info("upstream leaves", "id", id, "known", known)
	if known {
		n.shout()
		n.kick()
	}
}

// upstreamDown takes the pool's word that the upstream can't be reached.
func (n *Node) upstreamDown(sure bool) {
	now := n.clock.Now()
	n.mu.Lock()
	was, id, ending := n.desk.present, n.desk.id, n.desk.leaving
	if sure {
		n.desk.present = false
	}
	if n.machine != nil && sure {
		n.machine.Down(now, true)
	}
	n.notify()
	n.mu.Unlock()
	if was && sure {
		n.log.Info("upstream lost", "id", id, "refused", sure)
		n.shout()
		n.kick()
		if !ending {
			n.crashed(id)
		}
	}
}

// doubtUpstream asks for a look at whether the upstream is there, after a call was
// lost.
func (n *Node) doubtUpstream() {
	select {
	case n.doubts <- struct{}{}:
	default:
	}
}

// watchUpstream looks whether the upstream is there: when its heartbeats have failed
// to come, and when calls are lost.
func (n *Node) watchUpstream() {
	ticker := n.clock.NewTicker(deskTime)
	defer ticker.Stop()
	looked := n.clock.Now()
	for {
		doubted := false
		select {
		case <-n.ctx.Done():
			return
		case <-ticker.Chan():
		case <-n.doubts:
			doubted = n.clock.Now().Sub(looked) >= doubtTime
		}
		if doubted || n.isUpstreamSilent() {
			looked = n.clock.Now()
			n.lookAtUpstream()
		}
	}
}

func (n *Node) isUpstreamSilent() bool {
	n.mu.Lock()
	defer n.mu.Unlock()
	limit := time.Duration(silentBeats * float64(n.settings.Interval))
	return n.desk.id == "" || n.clock.Now().Sub(n.desk.beat) > limit
}

// lookAtUpstream opens a connection to the upstream to see whether it is there.
func (n *Node) lookAtUpstream() {
	now := n.clock.Now()
	n.mu.Lock()
	present := n.desk.present
	silent := now.Sub(n.desk.beat) > time.Duration(silentBeats*float64(n.settings.Interval))
	n.mu.Unlock()
	listening, refused := n.probe()
	if refused {
		n.upstreamDown(true)
		return
	}
	if !silent {
		return
	}
	n.mu.Lock()
	defer n.mu.Unlock()
	if n.machine != nil && present {
		n.machine.Down(now, false)
	}
	if present && !listening {
		n.desk.present = false
		n.log.Info("upstream lost", "id", n.desk.id, "silent", now.Sub(n.desk.beat).String())
		n.notify()
	}
}

// probe reports whether something listens at the upstream's address, or certainly
// nothing does.
func (n *Node) probe() (listening, refused bool) {
	ctx, cancel := context.WithCancel(n.ctx)
	defer cancel()
	timer := n.clock.AfterFunc(probeTime, cancel)
	defer timer.Stop()
	conn, err := (&net.Dialer{}).DialContext(ctx, "tcp4", n.settings.Upstream)
	if err != nil {
		return false, errors.Is(err, syscall.ECONNREFUSED)
	}
	_ = conn.Close()
	return true, false
}
