package journl

import (
	"context"

	"github.com/monsoonmoor/monsoonmoor/calls"
	"github.com/monsoonmoor/monsoonmoor/ident"
	"github.com/monsoonmoor/monsoonmoor/wire"
)

// Claim is the right to run the request of one idempotency key. It ends by
// exactly one of Done, Lost and Forget; later ones do nothing.
type Claim struct {
	journal    *Journal
	shard      ident.Shard
	epoch      ident.Epoch
	log        *shardLog
	entry      *entry
	replicated bool
	ended      bool
}

// Replicate copies the intent to the successors. An error is a *calls.Error
// with the outcome NotRun, after which the caller must not run the request.
func (c *Claim) Replicate(ctx context.Context) error {
	j := c.journal
	if j.replicator == nil {
		return nil
	}
	j.mu.Lock()
	intent := c.entry.wire(j.clock.Now())
	j.mu.Unlock()
	c.replicated = true
	if err := j.replicator.Replicate(ctx, c.shard, c.epoch, []wire.Entry{intent}); err != nil {
		c.Forget()
		return calls.NewNotRun(calls.ReasonPeerDown, calls.WithRetryAfter(busyRetry), calls.WithCause(err))
	}
	return nil
}

// Done records the answer. Whole reports that body is all of it; a longer one
// is not kept.
func (c *Claim) Done(status int, kind string, body []byte, whole bool) {
	c.end(func(log *shardLog, e *entry) {
		e.state, e.status = stateDone, status
		if whole && len(body) <= MaxStored {
			e.whole, e.body, e.kind = true, body, kind
			log.grow(e.size())
		}
	})
}

// Lost records that the request may have run.
func (c *Claim) Lost() {
	c.end(func(_ *shardLog, e *entry) { e.state = stateUnknown })
}

// Forget frees the key: it is proved that the request did not run.
func (c *Claim) Forget() {
	j := c.journal
	if !c.end((*shardLog).remove) || !c.replicated {
		return
	}
	gone := wire.Entry{Key: c.entry.id, Request: c.entry.fingerprint, State: stateGone}
	j.replicator.Update(c.shard, c.epoch, []wire.Entry{gone})
}

// end changes the entry and its twins once, those that were not evicted
// meanwhile.
func (c *Claim) end(change func(*shardLog, *entry)) bool {
	j := c.journal
	j.mu.Lock()
	defer j.mu.Unlock()
	if c.ended {
		return false
	}
	c.ended = true
	for log, e := c.log, c.entry; e != nil; log, e = e.twinLog, e.twin {
		if log.entries[e.id] == e {
			change(log, e)
			j.bound(log)
		}
	}
	return true
}
