package mesh

import (
	"time"

	"github.com/monsoonmoor/monsoonmoor/gossip"
	"github.com/monsoonmoor/monsoonmoor/ident"
)

// gossip tells a few other daemons what this one knows.
func (n *Node) gossip() {
	now := n.clock.Now()
	n.mu.Lock()
	n.updateSelf()
	targets := n.state.Targets(now)
	messages := make([]gossip.Message, 0, len(targets))
	for _, t := range targets {
		messages = append(messages, gossip.Message{From: n.self, Entries: n.state.Digest(t.Inc.Host), Beats: n.state.Beats()})
	}
	n.mu.Unlock()
	for i, t := range targets {
		n.socket.Send(t.Addr, messages[i])
	}
}

// updateSelf brings this daemon's own entry up to date. It is called with mu
// held.
func (n *Node) updateSelf() {
	offered, capacity := n.load()
	n.state.Update(func(e *gossip.Entry) {
		e.Condition = n.condition()
		_, _, slots := n.gate.State()
		e.Slots = uint16(slots)
		e.Load = gossip.Load{
			Offered: float32(offered), Capacity: float32(capacity),
			Wait: uint32(n.wait().Milliseconds()), Cold: uint32(n.desk.cold(n.clock.Now()).Milliseconds()),
		}
	})
}

// condition returns the state of the upstream as others should see it. It is
// called with mu held.
func (n *Node) condition() gossip.Condition {
	switch {
	case n.stopping:
		return gossip.Stopping
	case !n.desk.present:
		return gossip.Absent
	case n.desk.leaving:
		return gossip.Draining
	}
	return gossip.Ready
}

// shout tells every live daemon this one's state at once.
func (n *Node) shout() {
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

// take takes a message of another daemon.
func (n *Node) take(m gossip.Message) {
	now := n.clock.Now()
	if len(m.Entries) > 0 {
		n.takeEntries(now, m)
	}
	if len(m.Want) > 0 {
		n.answerWant(now, m)
	}
	if m.Renewal != nil {
		n.answerRenewal(now, m)
	}
	if m.Renewed != nil {
		n.takeRenewed(m)
	}
	if m.Ballot != nil {
		n.answerBallot(now, m)
	}
	if m.Vote != nil {
		n.takeVote(*m.Vote)
	}
	if m.Request != nil {
		n.takeRequest(now, *m.Request)
	}
	if m.Suspects != nil {
		n.quarantine.Merge(m.Suspects)
	}
	if m.Changed != nil {
		n.hear(now, m.From.Host, *m.Changed, m.Urgent)
	}
}

// answerWant tells another daemon of the runs that it does not know.
func (n *Node) answerWant(now time.Time, m gossip.Message) {
	n.mu.Lock()
	from, _ := n.state.Find(now, m.From.Host)
	reply := gossip.Message{From: n.self, Entries: append([]gossip.Entry{n.state.Self()}, n.state.Entries(m.Want)...)}
	n.mu.Unlock()
	if from.Addr != "" {
		n.socket.Send(from.Addr, reply)
	}
}

// takeRenewed takes a witness's renewal of this member's lease.
func (n *Node) takeRenewed(m gossip.Message) {
	n.mu.Lock()
	waiting := false
	if n.machine != nil {
		n.machine.Renewed(m.From, m.Renewed.Number)
		waiting = !n.machine.IsMember()
	}
	n.mu.Unlock()
	if waiting {
		n.kick()
	}
}

// takeVote takes a witness's vote that a lease has ended.
func (n *Node) takeVote(vote gossip.Ballot) {
	n.mu.Lock()
	if n.machine != nil {
		n.machine.Voted(vote.Owner, vote.Witness)
		if vote.Owner.Host == n.settings.Host {
			n.machine.Fenced(vote.Witness, vote.Owner)
		}
	}
	n.mu.Unlock()
	n.kick()
}

// takeRequest takes what another member wants written into the ownership table.
func (n *Node) takeRequest(now time.Time, r gossip.Request) {
	n.mu.Lock()
	if n.machine != nil {
		n.machine.Take(now, r)
	}
	n.mu.Unlock()
	n.kick()
}

// takeEntries takes what another daemon knows of the fleet. A daemon that was
// not known before is answered, so that the two know each other at once.
func (n *Node) takeEntries(now time.Time, m gossip.Message) {
	n.mu.Lock()
	_, known := n.state.Find(now, m.From.Host)
	changed := n.state.Merge(now, m.Entries)
	unknown := n.state.Count(now, m.Beats)
	sender, _ := n.state.Find(now, m.From.Host)
	reply := gossip.Message{From: n.self, Entries: n.state.Digest(m.From.Host)}
	var live []gossip.Entry
	if len(changed) > 0 {
		live = n.state.Live(now)
		n.notify()
	}
	n.mu.Unlock()
	if !known && sender.Addr != "" {
		n.socket.Send(sender.Addr, reply)
	}
	if len(unknown) > 0 && sender.Addr != "" {
		n.socket.Send(sender.Addr, gossip.Message{From: n.self, Want: unknown})
	}
	for _, host := range changed {
		n.logPeer(now, host, len(live))
		n.budget.Join(len(live) + 1)
	}
	for _, v := range m.Entries[0].Versions {
		// The first entry is the sender's own.
		n.hear(now, m.From.Host, v, false)
	}
	if len(changed) > 0 {
		n.kick()
	}
}

func (n *Node) logPeer(now time.Time, host ident.Host, live int) {
	n.mu.Lock()
	e, ok := n.state.Find(now, host)
	n.mu.Unlock()
	n.log.Info("peer changed", "peer", e.Inc.String(), "addr", e.Addr, "service", string(e.Service),
		"condition", e.Condition.String(), "live", ok, "fleet", live)
}

// hear takes the news that another daemon has a version of a document. One that
// concerns this daemon is fetched at once, others with the next tick that allows
// it.
func (n *Node) hear(now time.Time, host ident.Host, v gossip.Version, urgent bool) {
	n.mu.Lock()
	from, ok := n.state.Find(now, host)
	if !ok {
		n.mu.Unlock()
		return
	}
	fetch := v.Name == configDoc && v.Number > n.plans.Plan().Version()
	for service, t := range n.tables {
		if topicOf(service) != v.Name || v.Number <= max(t.heard, t.current.Version()) {
			continue
		}
		t.heard, t.from = v.Number, from.Addr
		if n.machine != nil && service == n.settings.Service {
			n.machine.Heard(v.Number)
		}
		if urgent {
			t.fetched, t.urgent = now, v.Number
			fetch = true
		}
	}
	n.mu.Unlock()
	if fetch {
		n.fetch(from.Addr, v)
	}
}

// answerRenewal renews another member's lease, or says that it was voted
// against.
func (n *Node) answerRenewal(now time.Time, m gossip.Message) {
	n.mu.Lock()
	renewed := n.witness.Renew(now, m.From)
	from, ok := n.state.Find(now, m.From.Host)
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

// answerBallot votes on whether a member's lease has ended.
func (n *Node) answerBallot(now time.Time, m gossip.Message) {
	n.mu.Lock()
	voted := n.witness.Vote(now, m.Ballot.Owner, m.Ballot.Witness)
	wait := n.witness.Wait(now, m.Ballot.Owner)
	from, _ := n.state.Find(now, m.From.Host)
	n.mu.Unlock()
	n.log.Info("asked for a vote", "owner", m.Ballot.Owner.String(), "by", m.From.String(), "voted", voted, "wait", wait.String())
	if voted && from.Addr != "" {
		n.socket.Send(from.Addr, gossip.Message{From: n.self, Vote: m.Ballot})
	}
}

// think looks at leases, members and moves at every tick and kick.
func (n *Node) think() {
	ticker := n.clock.NewTicker(tickTime)
	defer ticker.Stop()
	for {
		select {
		case <-n.ctx.Done():
			return
		case <-ticker.Chan():
		case <-n.kicks:
		}
		n.act()
	}
}

// act does what the machine wants done.
func (n *Node) act() {
	now := n.clock.Now()
	n.mu.Lock()
	if n.machine == nil {
		n.mu.Unlock()
		n.refresh(now, false)
		return
	}
	n.updateSelf()
	a := n.machine.Tick(now, n.state.Live(now))
	to := make([]string, len(a.Messages))
	for i, m := range a.Messages {
		e, _ := n.state.Find(now, m.To)
		to[i] = e.Addr
	}
	n.desk.wake(n.machine, now)
	if a.Regrant {
		n.notify()
	}
	n.mu.Unlock()
	for i, m := range a.Messages {
		if to[i] != "" {
			n.socket.Send(to[i], m.Message)
		}
	}
	n.refresh(now, a.Refresh)
	for _, note := range a.Notes {
		n.log.Info(note.Text, note.Pairs...)
	}
	if a.Proposal != nil {
		n.run(func() { n.write(a.Proposal) })
	}
}
