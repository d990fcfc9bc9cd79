// Package store is the port to the place where the fleet keeps what must last:
// topics that keep the newest value of every key, written under a condition and
// read by waiting for changes. Mem is the port's implementation in memory, with
// faults on order, Debug logs every call of another one, and Follower keeps up
// with a topic.
//
// # Usage
//
//	snapshot, err := port.Newest(ctx, "tables.events")
//	offset, err := port.Put(ctx, store.Write{Topic: "tables.events", Key: "table", Value: data, At: snapshot.End})
//	switch {
//	case errors.Is(err, store.ErrConflict):
//		// somebody else wrote first, nothing was done
//	case errors.Is(err, store.ErrUnknown):
//		// it may have been written, or may still be
//	}
package store
