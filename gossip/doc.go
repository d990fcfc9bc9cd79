// Package gossip keeps what the daemons of a fleet know of each other: who runs
// where, in what state its upstream is, how loaded it is and which versions it
// has read. Every daemon sends a few others what it knows, several times a
// second, so that the cost of one daemon does not grow with the fleet and no
// list of members is kept anywhere. A daemon whose counter has stopped rising is
// taken for lost.
//
// State is the decision code: it is given the time and does no input or output.
// Socket carries messages as datagrams.
//
// # Usage
//
//	state := gossip.NewState(self, gossip.DefaultTimings())
//	for _, target := range state.Targets(now) {
//		socket.Send(target, gossip.Message{Entries: state.Digest(now, target)})
//	}
//	state.Merge(now, message.Entries)
//	for _, entry := range state.Live(now) { ... }
package gossip
