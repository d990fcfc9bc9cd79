package core

import (
	"time"

	"github.com/monsoonmoor/monsoonmoor/ident"
	"github.com/monsoonmoor/monsoonmoor/table"
)

// View is an immutable snapshot of a machine's table and lease for the request
// path. It is safe for concurrent use.
type View struct {
	self      ident.Incarnation
	service   ident.Service
	lease     time.Time
	table     *table.View
	overrides overrides
	served    []ServedShard
	byService map[ident.Service][]table.Member
}

// overrides holds the slots whose service by the member differs from what its
// table says.
type overrides struct {
	// stopped holds the slots that accept no new requests, with their epochs.
	stopped map[ident.Slot]ident.Epoch
	// takenOver holds the slots that the member serves as successor.
	takenOver map[ident.Slot]takenOverSlot
}

// takenOverSlot holds the epoch that a takeover replaces, and the fencing
// token of the takeover.
type takenOverSlot struct{ replaces, token ident.Epoch }

// Self returns the incarnation of the member that the view belongs to.
func (v *View) Self() ident.Incarnation { return v.self }

// Lookup returns the target of requests for a key hash of a service; false
// when the service is unknown. For a slot that the member serves before the
// stream confirms it, the target is the member itself.
func (v *View) Lookup(service ident.Service, hash uint64) (table.Target, bool) {
	if v.table == nil {
		return table.Target{}, false
	}
	t, ok := v.table.Lookup(service, hash)
	if !ok || len(v.overrides.takenOver) == 0 || service != v.service {
		return t, ok
	}
	if own, held := v.overrides.takenOver[t.Shard.Slot]; held && own.replaces == t.Epoch {
		t.Owner, t.Epoch = v.self, own.token
	}
	return t, true
}

// Serves reports whether the member may run requests of the shard at now, and
// under which epoch. It compares the lease with now, so that a view that was
// read before a pause refuses requests after it.
func (v *View) Serves(shard ident.Shard, now time.Time) (ident.Epoch, bool) {
	if shard.Service != v.service || !now.Before(v.lease) {
		return 0, false
	}
	st, ok := v.table.State(shard)
	if !ok {
		return 0, false
	}
	epoch := st.Epoch
	if own, held := v.overrides.takenOver[shard.Slot]; held && own.replaces == st.Epoch {
		epoch = own.token
	} else if st.Owner != v.self {
		return 0, false
	}
	if at, stopped := v.overrides.stopped[shard.Slot]; stopped && at == epoch {
		return 0, false
	}
	return epoch, true
}

// LeaseLeft returns the time until the member's lease expires; zero or less
// when it has none.
func (v *View) LeaseLeft(now time.Time) time.Duration {
	if v.lease.IsZero() {
		return 0
	}
	return v.lease.Sub(now)
}

// Member returns the table's entry for an incarnation; false when it has none.
func (v *View) Member(inc ident.Incarnation) (table.Member, bool) {
	if v.table == nil {
		return table.Member{}, false
	}
	return v.table.Member(inc)
}

// Members returns the members that serve a service, in a fixed order. The
// caller must not change the slice.
func (v *View) Members(service ident.Service) []table.Member {
	return v.byService[service]
}

// Table returns the ownership table of the view; nil when there is none.
func (v *View) Table() *table.View { return v.table }

// Served returns the shards that the member may run requests of while its
// lease is valid, with their epochs. The caller must not change the slice.
func (v *View) Served() []ServedShard {
	return v.served
}

// ServedShard is a shard that a member serves, with its epoch.
type ServedShard struct {
	Shard ident.Shard
	Epoch ident.Epoch
	// Base is the shard from which a pinned key of this member was split, as
	// long as no other member has owned the pin; else the zero shard.
	Base ident.Shard
}
