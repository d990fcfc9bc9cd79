package core

import (
	"time"

	"github.com/monsoonmoor/monsoonmoor/ident"
	"github.com/monsoonmoor/monsoonmoor/table"
)

// View is an immutable reading of a machine's table and lease for the request
// path. It is safe for concurrent use.
type View struct {
	self      ident.Incarnation
	service   ident.Service
	lease     time.Time
	table     *table.View
	marks     marks
	served    []Holding
	byService map[ident.Service][]table.Member
}

// marks is where a member's service differs from what its table says.
type marks struct {
	// stopped holds slots on which new work has stopped.
	stopped map[ident.Slot]ident.Epoch
	// taken holds slots that the member serves as successor.
	taken map[ident.Slot]taken
}

type taken struct{ replaces, token ident.Epoch }

// Self returns the member whose view this is.
func (v *View) Self() ident.Incarnation { return v.self }

// Lookup returns where requests for a key hash of a service go. It reports
// false when the service is unknown. A slot that the member itself serves
// before the stream says so has the member as owner.
func (v *View) Lookup(service ident.Service, hash uint64) (table.Target, bool) {
	if v.table == nil {
		return table.Target{}, false
	}
	t, ok := v.table.Lookup(service, hash)
	if !ok || len(v.marks.taken) == 0 || service != v.service {
		return t, ok
	}
	if own, held := v.marks.taken[t.Shard.Slot]; held && own.replaces == t.Epoch {
		t.Owner, t.Epoch = v.self, own.token
	}
	return t, true
}

// Serves reports whether the member may run requests of the shard at now, and
// under which epoch. It holds the lease against now, so that a view that was
// taken before a pause refuses after it.
func (v *View) Serves(shard ident.Shard, now time.Time) (ident.Epoch, bool) {
	if shard.Service != v.service || !now.Before(v.lease) {
		return 0, false
	}
	st, ok := v.table.State(shard)
	if !ok {
		return 0, false
	}
	epoch := st.Epoch
	if own, held := v.marks.taken[shard.Slot]; held && own.replaces == st.Epoch {
		epoch = own.token
	} else if st.Owner != v.self {
		return 0, false
	}
	if at, stopped := v.marks.stopped[shard.Slot]; stopped && at == epoch {
		return 0, false
	}
	return epoch, true
}

// LeaseLeft returns how long the member's lease still runs at now; zero or
// less when it has none.
func (v *View) LeaseLeft(now time.Time) time.Duration {
	if v.lease.IsZero() {
		return 0
	}
	return v.lease.Sub(now)
}

// Member returns what the table knows of an incarnation.
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

// Table returns the table that the view shows; nil when there is none.
func (v *View) Table() *table.View { return v.table }

// Served returns the shards that the member may run requests of while its
// lease holds, with their epochs. The caller must not change the slice.
func (v *View) Served() []Holding {
	return v.served
}

// Holding is a shard that a member serves, under an epoch.
type Holding struct {
	Shard ident.Shard
	Epoch ident.Epoch
	// Base is the shard that a pinned key of this member was parted from, while no
	// other member has owned the pin; the zero shard otherwise.
	Base ident.Shard
}
