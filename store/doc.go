// Package store defines Port, the interface to the fleet's durable store: topics
// that keep the newest value of every key, with conditional writes and long-poll
// reads. Mem is an in-memory implementation with fault injection, Debug is a wrapper
// that logs every call, and Follower delivers the newest values of a topic and then
// its changes.
//
// # Usage
//
//	snapshot, err := port.Newest(ctx, "tables.events")
//	offset, err := port.Put(ctx, store.Write{Topic: "tables.events", Key: "table", Value: data, At: snapshot.End})
//	switch {
//	case errors.Is(err, store.ErrConflict):
//		// another writer was first; nothing was written
//	case errors.Is(err, store.ErrOutcomeUnknown):
//		// the value may have been written, or may still be written later
//	}
package store
