package mesh

import (
	"time"

	"github.com/monsoonmoor/monsoonmoor/gossip"
	"github.com/monsoonmoor/monsoonmoor/ident"
	"github.com/monsoonmoor/monsoonmoor/wire"
)

// sendGossip sends this daemon's view of the fleet to a few other daemons.
func (n *Node) sendGossip() {
	now := n.clock.Now()
	n.mu.Lock()
	n.updateSelf()
	targets := n.state.Targets(now)
	messages := make([]gossip.Message, 0, len(targets))
	for _, t := range targets {
		messages = append(messages, gossip.Message{From: n.self, Entries: n.state.Digest(now, t.Inc.Host), Beats: n.state.Beats(now)})
	}
	n.mu.Unlock()
	for i, t := range targets {
		n.socket.Send(t.Addr, messages[i])
	}
}

// updateSelf refreshes this daemon's own gossip entry. It is called with mu held.
func (n *Node) updateSelf() {
	offered, capacity := n.load()
	n.state.Update(func(e *gossip.Entry) {
		e.Condition = n.condition()
		_, _, slots := n.gate.State()
		e.Slots = uint16(slots)
		e.Load = gossip.Load{
			Offered: float32(offered), Capacity: float32(capacity),
			Wait: uint32(n.expectedWait().Milliseconds()), Cold: uint32(n.upstream.coldFor(n.clock.Now()).Milliseconds()),
		}
	})
}

// condition returns the state of the upstream as published to other daemons. It is
// called with mu held.
func (n *Node) condition() gossip.Condition {
	switch {
	case n.stopping:
		return gossip.Stopping
	case !n.upstream.present:
		return gossip.Absent
	case n.upstream.leaving, n.upstream.evacuated:
		return gossip.Draining
	}
	return gossip.Ready
}

// broadcastState sends this daemon's gossip entry to every live daemon at once.
func (n *Node) broadcastState() {
	n.mu.Lock()
	n.updateSelf()
	live := n.state.Live(n.clock.Now())
	message := gossip.Message{From: n.self, Entries: []gossip.Entry{n.state.Self()}}
	n.mu.Unlock()
	for _, e := range live {
		if e.Inc.Host != n.settings.Host {
			n.socket.Send(e.Addr, message)
		}
	}
}

// handleMessage dispatches the parts of a message from another daemon.
func (n *Node) handleMessage(m gossip.Message) {
	now := n.clock.Now()
	if len(m.Entries) > 0 {
		n.handleEntries(now, m)
	}
	if len(m.WantRuns) > 0 {
		n.handleWant(now, m)
	}
	if m.Renewal != nil {
		n.handleRenewal(now, m)
	}
	if m.Renewed != nil {
		n.handleRenewed(m)
	}
	if m.Ballot != nil {
		n.handleBallot(now, m)
	}
	if m.Vote != nil {
		n.handleVote(*m.Vote)
	}
	if m.Request != nil {
		n.handleRequest(now, *m.Request)
	}
	if m.Suspects != nil {
		n.mergeSuspects(m.Suspects)
	}
	if m.Changed != nil {
		n.handleVersion(now, m.From.Host, *m.Changed, m.Urgent)
	}
}

// mergeSuspects adds the suspects of another daemon. Entries that it lifts are removed from
// the store, too.
func (n *Node) mergeSuspects(report *wire.Suspects) {
	n.quarantine.Merge(report)
	lifted := &wire.Suspects{}
	for _, item := range report.Items {
		if item.Lifted {
			lifted.Items = append(lifted.Items, item)
		}
	}
	n.queueQuarantined(lifted)
}

// handleWant sends another daemon the entries of the incarnations that it asked for.
func (n *Node) handleWant(now time.Time, m gossip.Message) {
	n.mu.Lock()
	from, _ := n.state.Find(now, m.From.Host)
	reply := gossip.Message{From: n.self, Entries: append([]gossip.Entry{n.state.Self()}, n.state.Entries(m.WantRuns)...)}
	n.mu.Unlock()
	if from.Addr != "" {
		n.socket.Send(from.Addr, reply)
	}
}

// handleRenewed processes a witness's renewal of this member's lease.
func (n *Node) handleRenewed(m gossip.Message) {
	n.mu.Lock()
	waiting := false
	if n.machine != nil {
		n.machine.RecordRenewal(m.From, m.Renewed.Number)
		waiting = !n.machine.IsMember()
	}
	n.mu.Unlock()
	if waiting {
		n.requestReconcile()
	}
}

// handleVote processes a witness's vote that a lease has ended.
func (n *Node) handleVote(vote gossip.Ballot) {
	n.mu.Lock()
	if n.machine != nil {
		n.machine.RecordVote(vote.Owner, vote.Witness)
		if vote.Owner.Host == n.settings.Host {
			n.machine.RecordFenced(vote.Witness, vote.Owner)
		}
	}
	n.mu.Unlock()
	n.requestReconcile()
}

// handleRequest processes another member's request for a change of the ownership table.
func (n *Node) handleRequest(now time.Time, r gossip.Request) {
	n.mu.Lock()
	if n.machine != nil {
		n.machine.AddRequest(now, r)
	}
	n.mu.Unlock()
	n.requestReconcile()
}

// maxContacts is the number of live daemons up to which a daemon that it has only heard of
// is contacted at once, for a sign of life. In a larger fleet its heartbeat counter arrives
// soon enough.
const maxContacts = 8

// handleEntries merges another daemon's view of the fleet into this one's. A daemon whose
// run was unknown before is answered, so that both know each other at once.
func (n *Node) handleEntries(now time.Time, m gossip.Message) {
	n.mu.Lock()
	before, wasLive := n.state.Find(now, m.From.Host)
	changed := n.state.Merge(now, m.From, m.Entries)
	unknown, found := n.state.MergeBeats(now, m.Beats)
	changed = append(changed, found...)
	sender, _ := n.state.Find(now, m.From.Host)
	reply := gossip.Message{From: n.self, Entries: n.state.Digest(now, m.From.Host)}
	var live, unproven []gossip.Entry
	if len(changed) > 0 {
		live = n.state.Live(now)
		unproven = n.state.Unproven(now, changed, maxContacts-len(live))
		n.notify()
	}
	n.mu.Unlock()
	switch {
	case sender.Addr == "":
	case !wasLive:
		n.socket.Send(sender.Addr, reply)
	case before.Inc != m.From:
		reply.Entries = reply.Entries[:1]
		n.socket.Send(sender.Addr, reply)
	}
	for _, e := range unproven {
		n.socket.Send(e.Addr, gossip.Message{From: n.self, Entries: reply.Entries[:1]})
	}
	if len(unknown) > 0 && sender.Addr != "" {
		n.socket.Send(sender.Addr, gossip.Message{From: n.self, WantRuns: unknown})
	}
	for _, host := range changed {
		n.logPeer(now, host, len(live))
		n.budget.ObserveFleetSize(len(live) + 1)
	}
	for _, v := range m.Entries[0].Versions {
		// The first entry is the sender's own.
		n.handleVersion(now, m.From.Host, v, false)
	}
	if len(changed) > 0 {
		n.sendQuarantine(now, changed)
		n.requestReconcile()
	}
}

// logPeer logs that the incarnation or condition of another daemon has changed.
func (n *Node) logPeer(now time.Time, host ident.Host, live int) {
	n.mu.Lock()
	e, ok := n.state.Find(now, host)
	n.mu.Unlock()
	n.log.Info("peer changed", "peer", e.Inc.String(), "addr", e.Addr, "service", string(e.Service),
		"condition", e.Condition.String(), "live", ok, "fleet", live)
}

// handleVersion processes the announcement that another daemon has a version of a
// document. A newer configuration, and a table version that concerns this daemon, are
// fetched at once; other tables are fetched by fetchStale.
func (n *Node) handleVersion(now time.Time, host ident.Host, v gossip.Version, urgent bool) {
	if v.Name == eraDocument {
		n.observeEra(v.Number, "peer")
		return
	}
	n.mu.Lock()
	from, ok := n.state.Find(now, host)
	if !ok {
		n.mu.Unlock()
		return
	}
	fetch := v.Name == configDocument && v.Number > n.plans.Plan().Version() ||
		v.Name == evacuationDocument && v.Number > n.evacuations.Version()
	for service, t := range n.tables {
		if topicOf(service) != v.Name || v.Number <= max(t.announced, t.current.Version()) {
			continue
		}
		t.announced, t.announcedBy = v.Number, from.Addr
		if n.machine != nil && service == n.settings.Service {
			n.machine.RecordVersion(v.Number)
		}
		if urgent {
			t.fetchedAt, t.urgent = now, v.Number
			fetch = true
		}
	}
	n.mu.Unlock()
	if fetch {
		n.fetch(from.Addr, v)
	}
}

// handleRenewal renews another member's lease, or replies that this witness has voted
// against it.
func (n *Node) handleRenewal(now time.Time, m gossip.Message) {
	n.mu.Lock()
	from, ok := n.state.Find(now, m.From.Host)
	if t := n.tables[from.Service]; t != nil && m.IsOutdated(t.current.Era()) {
		// The member must read the table that was written since the store was restored.
		version := gossip.Version{Name: topicOf(t.service), Number: t.encoded.version}
		n.mu.Unlock()
		n.socket.Send(from.Addr, gossip.Message{From: n.self, Changed: &version, Urgent: true})
		return
	}
	renewed := n.witness.Renew(now, m.From)
	n.mu.Unlock()
	if !ok && from.Addr == "" {
		return
	}
	reply := gossip.Message{From: n.self, Renewed: m.Renewal}
	if !renewed {
		reply = gossip.Message{From: n.self, Vote: &gossip.Ballot{Owner: m.From, Witness: n.self}}
	}
	n.socket.Send(from.Addr, reply)
}

// handleBallot votes on whether a member's lease has ended.
func (n *Node) handleBallot(now time.Time, m gossip.Message) {
	n.mu.Lock()
	voted := n.witness.Vote(now, m.Ballot.Owner, m.Ballot.Witness)
	wait := n.witness.VoteDelay(now, m.Ballot.Owner)
	from, _ := n.state.Find(now, m.From.Host)
	n.mu.Unlock()
	n.log.Info("asked for a vote", "owner", m.Ballot.Owner.String(), "by", m.From.String(), "voted", voted, "wait", wait.String())
	if voted && from.Addr != "" {
		n.socket.Send(from.Addr, gossip.Message{From: n.self, Vote: m.Ballot})
	}
}

// reconcileLoop runs reconcile at every interval and on request.
func (n *Node) reconcileLoop() {
	ticker := n.clock.NewTicker(reconcileInterval)
	defer ticker.Stop()
	for {
		select {
		case <-n.ctx.Done():
			return
		case <-ticker.Chan():
		case <-n.reconcileRequests:
		}
		n.reconcile()
	}
}

// reconcile advances the owner state machine and carries out the actions that it
// returns: messages, table fetches, log notes and at most one proposal.
func (n *Node) reconcile() {
	now := n.clock.Now()
	n.mu.Lock()
	if n.machine == nil {
		n.mu.Unlock()
		n.fetchStale(now, false)
		return
	}
	n.updateSelf()
	n.reportEvacuation()
	a := n.machine.Tick(now, n.state.Live(now))
	to := make([]string, len(a.Messages))
	for i, m := range a.Messages {
		e, _ := n.state.Find(now, m.To)
		to[i] = e.Addr
	}
	n.metrics.recordWitnesses(now, n.machine)
	n.upstream.releaseAnswer(n.machine, now)
	if a.SendGrant {
		n.notify()
	}
	commands, upstream := n.machine.Commands(now), n.upstream.key()
	n.mu.Unlock()
	for _, cmd := range commands {
		n.spawn(func() { n.runCommand(upstream, cmd) })
	}
	for i, m := range a.Messages {
		if to[i] != "" {
			n.socket.Send(to[i], m.Message)
		}
	}
	n.fetchStale(now, a.Refresh)
	if a.ReadStore {
		n.readTableEnd(n.settings.Service)
	}
	for _, note := range a.Notes {
		n.log.Info(note.Text, note.Pairs...)
	}
	if a.Proposal != nil {
		n.spawn(func() { n.writeTable(a.Proposal) })
	}
}
