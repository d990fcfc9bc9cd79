// Package journl is the journal of idempotency keys that an owner keeps, so
// that a non-idempotent request runs at most once however often it is sent.
//
// # Usage
//
//	claim, reply, err := journal.Begin(call, shard, epoch, fingerprint)
//	switch {
//	case err != nil:
//		return nil, err // busy, reused, expired or lost
//	case reply != nil:
//		return reply, nil // the stored answer
//	}
//	if err := claim.Replicate(ctx); err != nil {
//		return nil, err // nothing ran
//	}
//	// run the request, then
//	claim.Done(status, contentType, body)
//
// # How the age of a key is known
//
// An Idempotency-Key carries the time at which it was made: it is a version 7
// UUID, or has the form "unix-milliseconds-text". The journal keeps one time
// for each shard, its floor: every request with a key made after the floor
// that ran is in the journal. A key that is not in the journal and was not made
// after the floor is refused, not run. Expiry, eviction for lack of room and a
// takeover without a whole replica all do the same thing: they raise the
// floor. A key made later than now plus the allowed skew is refused too, which
// bounds what an earlier owner can have run. Callers without a good clock take
// their key from a daemon.
//
// A ticket minted by the owner for each request was weighed: it needs one more
// round trip for each request and an answer to the loss of that answer. A
// random key with no time was weighed: nothing then tells an old key from a
// new one, and a request sent again after the journal's window would run twice.
//
// # Replicas
//
// Before a request runs, its intent is copied to the successors of its shard.
// A successor that takes over answers "unknown" for intents without a result.
// Its replica counts as whole only when the owner has sent the journal under
// the epoch that the takeover replaces; otherwise the floor is raised to the
// moment of the takeover plus the skew.
//
// A Keeper sends the journal of each shard to its successors whenever the
// shard's epoch changes, which makes their replicas whole again.
//
// With AckAll every successor must confirm the intent: no combination of
// losses doubles a request, and while a successor is lost and not replaced,
// requests with a key are refused for its shards. With AckAny one
// confirmation is enough: these requests go on, and a request may run twice
// when the owner and the successor that confirmed are both lost before the
// other successor has the journal. With AckNone nothing is waited for: it
// saves one round trip a request, and a request may run twice when the owner
// alone is lost before the copy has arrived.
//
// # Pins
//
// A pin parts one key from its shard without moving it. The pin's log begins as a
// copy of the shard's, since entries do not say which key they are of; a request
// that runs meanwhile ends in both.
//
// # Requests without a key
//
// A non-idempotent request without a key is not journaled. It is sent to an
// upstream at most once and never again after a byte of it was sent; only its
// caller can send it a second time.
package journl
