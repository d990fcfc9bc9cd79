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
	// checkInterval is the time between two checks whether heartbeats of the upstream
	// are overdue.
	checkInterval = 300 * time.Millisecond
	// minProbeInterval is the least time between two probes that lost calls trigger:
	// each one costs the upstream a connection.
	minProbeInterval = 250 * time.Millisecond
	// silentHeartbeats is the number of heartbeat intervals without a heartbeat after
	// which the upstream is probed.
	silentHeartbeats = 2.2
	// leavingAnswerHold is how long the answer to a heartbeat of a leaving upstream is
	// held back: long enough to decide where its keys go.
	leavingAnswerHold = 100 * time.Millisecond
	// probeTimeout bounds the attempt to connect to the upstream's address, which tests
	// whether anything listens there.
	probeTimeout = 300 * time.Millisecond
	// departureTTL is how long the leave notice of an unknown upstream is kept: such an
	// upstream may go on serving for many seconds. maxDepartures limits the number of
	// notices.
	departureTTL  = time.Minute
	maxDepartures = 64
)

// Heartbeat is the status that an upstream reports, including the keys that it holds.
type Heartbeat struct {
	owner.Heartbeat
	// Slots is the number of calls that the upstream runs concurrently.
	Slots int
	// WarmupLeft is how much longer the upstream is slow after its start.
	WarmupLeft time.Duration
}

// upstreamState is the daemon's view of the upstream beside it, as reported by
// heartbeats, leave notices and probes. A life is one run of the upstream's process,
// identified by its start time and id.
type upstreamState struct {
	answerHold time.Duration
	life       int64
	id         string
	lastNumber uint64
	// last is the newest heartbeat.
	last    owner.Heartbeat
	present bool
	leaving bool
	// departed is set when the upstream has given notice that it ends outside a
	// heartbeat.
	departed bool
	// leftAt is when the daemon first learned that the upstream leaves.
	leftAt        time.Time
	lastHeartbeat time.Time
	// evacuated is set while the upstream's zone is evacuated, and until the first
	// heartbeat after that, which tells whether the upstream has become cold;
	// evacuationOver is set in that time. evacuatedAt is when the daemon learned of
	// the evacuation.
	evacuated, evacuationOver bool
	evacuatedAt               time.Time
	warmAt                    time.Time
	slots                     int
	// pendingAnswer is closed to release the heartbeat answer that is held back; nil if
	// there is none.
	pendingAnswer chan struct{}
	// departures holds the time of the leave notice of each upstream that was unknown
	// then, by id: this daemon had just started, and the upstream may still send
	// heartbeats.
	departures map[string]time.Time
}

// newUpstreamState returns the state before the first heartbeat.
func newUpstreamState(hold time.Duration) upstreamState {
	return upstreamState{answerHold: hold, departures: make(map[string]time.Time)}
}

// recordDeparture stores the leave notice of an unknown upstream and discards expired
// ones.
func (d *upstreamState) recordDeparture(now time.Time, id string) {
	for other, at := range d.departures {
		if now.Sub(at) > departureTTL {
			delete(d.departures, other)
		}
	}
	if len(d.departures) < maxDepartures {
		d.departures[id] = now
	}
}

// startLife resets the state for a new life of the upstream. An upstream whose leave
// notice came before its first heartbeat is leaving from the start; a later life under
// the same id is not.
func (d *upstreamState) startLife(now time.Time, hb Heartbeat) {
	*d = upstreamState{
		answerHold: d.answerHold, life: hb.Life, id: hb.ID, departures: d.departures,
		evacuated: d.evacuated, evacuationOver: d.evacuationOver, evacuatedAt: d.evacuatedAt,
	}
	at, ok := d.departures[hb.ID]
	if ok && now.Sub(at) <= departureTTL && hb.Life <= at.UnixMilli() {
		d.leaving, d.departed, d.leftAt = true, true, at
	}
}

// lifeKey identifies a life of an upstream, which may start again under the same id.
type lifeKey struct {
	start int64
	id    string
}

// key returns the identity of the current life.
func (d *upstreamState) key() lifeKey { return lifeKey{start: d.life, id: d.id} }

// coldFor returns how much longer the upstream is slow after its start.
func (d *upstreamState) coldFor(now time.Time) time.Duration { return max(0, d.warmAt.Sub(now)) }

// apply updates the state from a heartbeat. It reports whether the heartbeat is the
// newest one, and whether it starts a new life. Outdated heartbeats change nothing.
func (d *upstreamState) apply(now time.Time, hb Heartbeat) (newest, begun bool) {
	switch {
	case hb.Life < d.life:
		return false, false
	case hb.Life > d.life || hb.ID != d.id:
		begun = true
		d.startLife(now, hb)
	case hb.Number <= d.lastNumber:
		return false, false
	}
	d.lastNumber, d.lastHeartbeat, d.present = hb.Number, now, true
	d.last = hb.Heartbeat
	if hb.Leaving && !d.leaving {
		d.leftAt = now
	}
	d.leaving = hb.Leaving || d.departed
	d.slots = hb.Slots
	d.warmAt = now.Add(hb.WarmupLeft)
	d.evacuated, d.evacuationOver = d.evacuated && !d.evacuationOver, false
	return true, begun
}

// releaseAnswer releases the heartbeat answer that is held back if the grants should
// change.
func (d *upstreamState) releaseAnswer(m *owner.Machine, now time.Time) {
	if d.pendingAnswer != nil && m.WantsGrant(now) {
		close(d.pendingAnswer)
		d.pendingAnswer = nil
	}
}

// Heartbeat processes a heartbeat of the upstream and returns the keys that it may
// hold. The answer may be held back for a while, so that a change of grants reaches the
// upstream as soon as there is one.
func (n *Node) Heartbeat(ctx context.Context, hb Heartbeat) owner.Grant {
	now := n.clock.Now()
	n.mu.Lock()
	before, ending, wasEvacuated := n.upstream.id, n.upstream.leaving, n.upstream.evacuated
	newest, begun := n.upstream.apply(now, hb)
	if !newest {
		n.mu.Unlock()
		n.log.Info("late heartbeat", "id", hb.ID, "life", hb.Life, "number", hb.Number)
		return owner.Grant{}
	}
	left := n.upstream.leftAt
	back := wasEvacuated && !n.upstream.evacuated
	changed := begun || n.upstream.slots != n.gateSlots() || hb.Leaving
	if n.machine != nil {
		n.machine.SetEvacuated(n.upstream.evacuated)
		n.machine.Heartbeat(now, hb.Heartbeat)
		if n.upstream.departed {
			n.machine.UpstreamLeaving()
		}
	}
	wait := n.holdAnswer(now)
	n.notify()
	n.mu.Unlock()
	if begun && !ending {
		n.handleCrash(before)
	}
	n.paceWarmup()
	if changed {
		n.applyUpstreamChange(hb, begun, left.Equal(now))
	}
	if back {
		n.log.Info("upstream returns after an evacuation", "id", hb.ID, "cold", hb.WarmupLeft.String())
		n.broadcastState()
	}
	n.requestReconcile()
	if wait != nil {
		limit := n.settings.answerHold()
		if hb.Leaving {
			limit = leavingAnswerHold
		}
		n.awaitGrantChange(ctx, wait, now, limit)
	}
	return n.answerHeartbeat(hb)
}

// gateSlots returns the number of slots that the admission gate uses.
func (n *Node) gateSlots() int {
	_, _, slots := n.gate.State()
	return slots
}

// holdAnswer returns a channel that is closed when the grants should change; nil when
// the heartbeat must be answered at once. Before the first configuration, which may
// create the machine at any time, the answer is held back too. It is called with mu
// held.
func (n *Node) holdAnswer(now time.Time) chan struct{} {
	if n.machine == nil && n.plans.Plan().Version() == 0 {
		n.upstream.pendingAnswer = make(chan struct{})
		return n.upstream.pendingAnswer
	}
	if n.machine == nil || n.machine.ByCalls() || n.machine.IsReleasing() || n.machine.WantsGrant(now) {
		return nil
	}
	n.upstream.pendingAnswer = make(chan struct{})
	return n.upstream.pendingAnswer
}

// awaitGrantChange waits until the given channel is closed, the limit counted from
// since has passed, or a context ends.
func (n *Node) awaitGrantChange(ctx context.Context, wait chan struct{}, since time.Time, limit time.Duration) {
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
	if n.upstream.pendingAnswer == wait {
		n.upstream.pendingAnswer = nil
	}
}

// replayHeartbeat passes the newest heartbeat to a machine that was created after it, so
// that the daemon need not wait for the next one. It is called with mu held.
func (n *Node) replayHeartbeat() {
	if !n.upstream.present {
		return
	}
	n.machine.Heartbeat(n.upstream.lastHeartbeat, n.upstream.last)
	if n.upstream.departed {
		n.machine.UpstreamLeaving()
	}
}

// answerHeartbeat returns the grant for a heartbeat; an empty one if a newer heartbeat
// has arrived or the service has no ownership table here.
func (n *Node) answerHeartbeat(hb Heartbeat) owner.Grant {
	n.mu.Lock()
	defer n.mu.Unlock()
	if n.machine == nil || n.upstream.id != hb.ID || n.upstream.lastNumber != hb.Number {
		return owner.Grant{}
	}
	g := n.machine.Grant(n.clock.Now())
	n.notify()
	return g
}

// applyUpstreamChange adjusts the connection pool and the admission gate to a changed
// upstream, and informs the other daemons when it has restarted or is leaving.
func (n *Node) applyUpstreamChange(hb Heartbeat, begun, leaves bool) {
	if begun {
		n.pool.Reset()
		n.gate.ResetServiceTimes()
	}
	n.gate.Announce(hb.Slots)
	if begun || leaves {
		n.log.Info("upstream announced", "id", hb.ID, "life", hb.Life, "slots", hb.Slots, "leaving", hb.Leaving,
			"cold", hb.WarmupLeft.String(), "holds", len(hb.Holds), "new", begun)
		n.broadcastState()
	}
}

// Leave processes the notice that the upstream with the given id ends.
func (n *Node) Leave(id string) {
	now := n.clock.Now()
	n.mu.Lock()
	known := n.upstream.id == id
	if !known {
		n.upstream.recordDeparture(now, id)
	}
	if known && !n.upstream.departed {
		if !n.upstream.leaving {
			n.upstream.leftAt = now
		}
		n.upstream.leaving, n.upstream.departed = true, true
		if n.machine != nil {
			n.machine.UpstreamLeaving()
		}
	}
	n.notify()
	n.mu.Unlock()
	n.log.Info("upstream leaves", "id", id, "known", known)
	if known {
		n.broadcastState()
		n.requestReconcile()
	}
}

// handleUpstreamDown is called when the upstream can't be reached. Refused is set when
// nothing listens at its address.
func (n *Node) handleUpstreamDown(refused bool) {
	if refused {
		n.handleUpstreamEnded(n.upstreamKey())
	}
}

// upstreamKey returns the identity of the current life of the upstream.
func (n *Node) upstreamKey() lifeKey {
	n.mu.Lock()
	defer n.mu.Unlock()
	return n.upstream.key()
}

// handleUpstreamEnded is called when a life of the upstream has certainly ended. It does
// nothing if another life has begun meanwhile.
func (n *Node) handleUpstreamEnded(life lifeKey) {
	now := n.clock.Now()
	n.mu.Lock()
	if n.upstream.key() != life {
		n.mu.Unlock()
		return
	}
	was, ending := n.upstream.present, n.upstream.leaving
	n.upstream.present = false
	if n.machine != nil {
		n.machine.UpstreamDown(now, true)
	}
	n.notify()
	n.mu.Unlock()
	if was {
		n.log.Info("upstream lost", "id", life.id)
		n.broadcastState()
		n.requestReconcile()
		if !ending {
			n.handleCrash(life.id)
		}
	}
}

// requestProbe asks monitorUpstream to probe the upstream, after a call was lost. It
// doesn't block.
func (n *Node) requestProbe() {
	select {
	case n.probeRequests <- struct{}{}:
	default:
	}
}

// monitorUpstream probes the upstream when its heartbeats are overdue and when calls
// were lost.
func (n *Node) monitorUpstream() {
	ticker := n.clock.NewTicker(checkInterval)
	defer ticker.Stop()
	lastProbe := n.clock.Now()
	for {
		probeDue := false
		select {
		case <-n.ctx.Done():
			return
		case <-ticker.Chan():
		case <-n.probeRequests:
			probeDue = n.clock.Now().Sub(lastProbe) >= minProbeInterval
		}
		if probeDue || n.isUpstreamSilent() {
			lastProbe = n.clock.Now()
			n.checkUpstream()
		}
	}
}

// isUpstreamSilent reports whether heartbeats of the upstream are overdue or none has
// arrived yet.
func (n *Node) isUpstreamSilent() bool {
	n.mu.Lock()
	defer n.mu.Unlock()
	limit := time.Duration(silentHeartbeats * float64(n.settings.Interval))
	return n.upstream.id == "" || n.clock.Now().Sub(n.upstream.lastHeartbeat) > limit
}

// checkUpstream probes the upstream and marks it as down if the connection is refused,
// or if heartbeats are overdue and nothing listens.
func (n *Node) checkUpstream() {
	now := n.clock.Now()
	n.mu.Lock()
	present, life := n.upstream.present, n.upstream.key()
	silent := now.Sub(n.upstream.lastHeartbeat) > time.Duration(silentHeartbeats*float64(n.settings.Interval))
	n.mu.Unlock()
	listening, refused := n.probe()
	if refused {
		n.handleUpstreamEnded(life)
		return
	}
	if !silent {
		return
	}
	n.mu.Lock()
	defer n.mu.Unlock()
	if n.machine != nil && present {
		n.machine.UpstreamDown(now, false)
	}
	if present && !listening {
		n.upstream.present = false
		n.log.Info("upstream lost", "id", n.upstream.id, "silent", now.Sub(n.upstream.lastHeartbeat).String())
		n.notify()
	}
}

// probe opens a connection to the upstream. It reports whether something listens at its
// address, and whether the connection was refused, so that certainly nothing does.
func (n *Node) probe() (listening, refused bool) {
	ctx, cancel := context.WithCancel(n.ctx)
	defer cancel()
	timer := n.clock.AfterFunc(probeTimeout, cancel)
	defer timer.Stop()
	conn, err := (&net.Dialer{}).DialContext(ctx, "tcp4", n.settings.Upstream)
	if err != nil {
		return false, errors.Is(err, syscall.ECONNREFUSED)
	}
	_ = conn.Close()
	return true, false
}
