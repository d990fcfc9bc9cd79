package peers

import "time"

const (
	// checksPerTimeout is the number of times that a connection is checked during the
	// probe timeout.
	checksPerTimeout = 8
	// probeAfter is the number of check intervals without data from the peer after which
	// a probe is sent. It is also deducted from the time that the probe may remain
	// unanswered.
	probeAfter = 2
	// suspectAfter sets when an unanswered probe makes a connection suspect and a
	// replacement is dialed: suspectAfter-1 check intervals after the probe was sent.
	suspectAfter = 4
	// lateAfter is the number of check intervals between two checks above which this
	// process counts as having been paused. A probe unanswered during a pause says
	// nothing about the peer.
	lateAfter = 3
)

// health is the result of checking a connection.
type health uint8

const (
	healthOK health = iota
	healthSuspect
	healthSilent
)

// probeLoop checks every connection once per interval until the transport is closed.
func (q *Quic) probeLoop() {
	every := q.opts.probeTimeout / checksPerTimeout
	ticker := q.opts.clock.NewTicker(every)
	defer ticker.Stop()
	last := q.now()
	for {
		select {
		case <-q.ctx.Done():
			return
		case <-ticker.Chan():
		}
		now := q.now()
		late := now-last > lateAfter*every
		last = now
		q.checkAll(now, late)
	}
}

// checkAll checks the connections of all peers and removes unused peers.
func (q *Quic) checkAll(now time.Duration, late bool) {
	open := 0
	for _, p := range q.allPeers() {
		conns, unused := p.snapshot(now)
		if unused {
			q.forget(p)
			continue
		}
		open += len(conns)
		for _, c := range conns {
			q.checkConn(p, c, now, late)
		}
	}
	q.metrics.conns.Update(float64(open))
}

// forget removes a peer that has no connection and has not been used for the idle
// timeout.
func (q *Quic) forget(p *peer) {
	q.mu.Lock()
	defer q.mu.Unlock()
	if _, unused := p.snapshot(q.now()); unused {
		delete(q.peers, p.host)
	}
}

// checkConn closes the connection if it is idle or silent, and dials a replacement if
// it is suspect.
func (q *Quic) checkConn(p *peer, c *conn, now time.Duration, late bool) {
	if !c.alive() {
		return
	}
	if now-time.Duration(c.lastUsed.Load()) > q.opts.idleTimeout && c.closeIdle() {
		return
	}
	switch c.checkHealth(now, late) {
	case healthOK:
		c.suspect.Store(false)
	case healthSuspect:
		c.suspect.Store(true)
		if !p.hasNewer(c) {
			p.dialReplacement(c)
		}
	case healthSilent:
		// While a dial is in progress its result decides: until then, calls on the old
		// connection may still be answered.
		if p.dialing() && !p.hasNewer(c) {
			return
		}
		q.metrics.silent.Inc(1)
		q.log.Info("connection silent", "host", c.host, "calls", c.calls.Load(), "replaced", p.hasNewer(c))
		c.close(codeSilent, "silent")
	}
}

// checkHealth returns whether the connection answers. It sends a probe when a call or a
// reply is outstanding and nothing has been received from the peer for probeAfter
// intervals. After a pause of this process (late) the wait for an unanswered probe
// starts again.
func (c *conn) checkHealth(now time.Duration, late bool) health {
	bound := c.q.opts.probeTimeout
	every := bound / checksPerTimeout
	heard := time.Duration(c.lastHeard.Load())
	if c.probeSentAt != 0 && heard >= c.probeSentAt {
		c.probeSentAt = 0
	}
	if c.probeSentAt != 0 && late {
		c.probeSentAt = now
	}
	if c.probeSentAt == 0 {
		outstanding := c.calls.Load() > 0 || time.Duration(c.lastSent.Load()) > heard
		if outstanding && now-heard >= probeAfter*every {
			c.probeSentAt = now
			c.enqueue(frame{kind: framePing, queuedAt: int64(now)})
		}
		return healthOK
	}
	switch waited := now - c.probeSentAt; {
	case waited >= bound-probeAfter*every:
		return healthSilent
	case waited >= (suspectAfter-1)*every:
		return healthSuspect
	}
	return healthOK
}
