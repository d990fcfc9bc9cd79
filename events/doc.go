// Package events records the time line of a daemon: typed events in bounded ring
// buffers, each stamped with a hybrid logical clock. It merges the time lines of
// several daemons into one causal order, filters and renders them, and explains
// from them why a shard has its current owner.
//
// # Usage
//
//	sink.Emit(events.Event{Kind: events.KindTakeover, Service: "events", First: 17, Last: 17})
package events
