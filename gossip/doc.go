// Package gossip implements a gossip protocol for the membership and state of
// the daemons of a fleet: where each one runs, the condition and load of its
// upstream, and which versions of the topics it has read. Every daemon sends
// what it knows to a few others several times per second, so the cost per daemon
// does not grow with the fleet and no central list of members is needed. A
// daemon whose heartbeat counter has stopped rising counts as lost. An entry that
// others pass on shows that its daemon existed, not that it still runs: a daemon
// counts as live once it has been heard from directly, or once its counter rises
// while others report it.
//
// State holds the protocol's logic: callers pass it the current time, and it does
// no input or output. Socket sends and receives messages as UDP datagrams.
//
// # Usage
//
//	state := gossip.NewState(self, gossip.DefaultTimings())
//	for _, target := range state.Targets(now) {
//		socket.Send(target, gossip.Message{Entries: state.Digest(now, target)})
//	}
//	state.Merge(now, message.From, message.Entries)
//	for _, entry := range state.Live(now) { ... }
package gossip
