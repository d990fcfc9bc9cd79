package events

import (
	"fmt"
	"io"
	"slices"

	"github.com/monsoonmoor/monsoonmoor/ident"
)

// Role is the part that an event plays in the ownership history of a shard.
type Role string

// Roles of a step.
const (
	// RoleOwner marks a change of owner.
	RoleOwner Role = "owner"
	// RoleCause marks an event that led to the next change of owner.
	RoleCause Role = "cause"
	// RoleAfter marks an event after the last change of owner that concerns the
	// owner or the shard.
	RoleAfter Role = "after"
)

// Step is one event of an Explanation.
type Step struct {
	Role  Role  `json:"role"`
	Event Event `json:"event"`
}

// Explanation is the chain of events that explains the current owner of a shard.
type Explanation struct {
	Shard ident.Shard `json:"shard"`
	// Owner is the owner after the last change on the time line, and Epoch the
	// highest epoch of the changes. Owner is empty when there is no change.
	Owner ident.Host  `json:"owner,omitempty"`
	Epoch ident.Epoch `json:"epoch,omitempty"`
	// Steps holds the events of the explanation in causal order.
	Steps []Step `json:"steps"`
	// Holder is the owner according to the ownership table of a daemon; nil when
	// no daemon was asked.
	Holder *Holder `json:"holder,omitempty"`
}

// Holder is the owner of a shard according to the ownership table of one daemon.
type Holder struct {
	// Owner is the owning member; zero when the shard has no owner.
	Owner ident.Incarnation `json:"owner"`
	// By is the host of the daemon that was asked. Next is the offset of the first
	// record of the ownership stream that this daemon had not read.
	By   ident.Host `json:"by"`
	Next uint64     `json:"next"`
}

// String formats the holder as a sentence.
func (h Holder) String() string {
	owner := "nobody owns it"
	if !h.Owner.IsZero() {
		owner = "owned by " + h.Owner.String()
	}
	return fmt.Sprintf("%s, by the table that %s has read up to offset %d", owner, h.By, h.Next)
}

// ownerKinds are the kinds of event that report a new owner.
var ownerKinds = []Kind{KindClaim, KindTakeover, KindMove, KindServe}

// shardCauses are the kinds that can cause a change of owner when the event
// concerns the shard.
var shardCauses = []Kind{KindStop, KindPin, KindVoid, KindMove, KindShed}

// memberCauses are the kinds that can cause a change of owner when the event
// concerns the member that lost the shard.
var memberCauses = []Kind{
	KindLapse, KindVote, KindFenced, KindEvict, KindDrain, KindLeave, KindRestart, KindPeer, KindUpstream,
}

// Why selects from a merged time line the chain of events that explains the current
// owner of a shard: each change of owner, preceded by its causes, and the events
// since the last change that concern the owner or the shard.
func Why(list []Event, shard ident.Shard) Explanation {
	x := Explanation{Shard: shard, Steps: []Step{}}
	about := NewFilter(WithService(shard.Service), WithSlots(shard.Slot))
	start := 0
	for i, e := range list {
		if !changesOwner(e, about, x) {
			continue
		}
		x.addCauses(list[start:i], e, about)
		x.Steps = append(x.Steps, Step{Role: RoleOwner, Event: e})
		x.Owner, x.Epoch = newOwner(e), max(x.Epoch, e.Epoch)
		start = i + 1
	}
	if x.Owner == "" {
		return x
	}
	for _, e := range list[start:] {
		if concerns(e, x.Owner, ident.Incarnation{}) || (about.Match(e) && slices.Contains(shardCauses, e.Kind)) {
			x.Steps = append(x.Steps, Step{Role: RoleAfter, Event: e})
		}
	}
	return x
}

// newOwner returns the new owner that an event of ownerKinds reports. This is the
// host that recorded the event, except for a move: the previous owner records it,
// with the new owner as Member.
func newOwner(e Event) ident.Host {
	if e.Kind == KindMove && !e.Member.IsZero() {
		return e.Member.Host
	}
	return e.Host
}

// changesOwner reports whether e changes the owner of the shard. Several events can
// report one change: only the first of an epoch counts. An event with an older
// epoch is a late report from a daemon whose log lags behind, and is ignored.
func changesOwner(e Event, about *Filter, x Explanation) bool {
	if !about.Match(e) || !slices.Contains(ownerKinds, e.Kind) {
		return false
	}
	if x.Owner == "" {
		return true
	}
	return e.Epoch > x.Epoch || (e.Epoch == 0 && newOwner(e) != x.Owner)
}

// addCauses appends the events of list that caused the change e. Before the first
// known owner, the joining of the new owner counts as a cause.
func (x *Explanation) addCauses(list []Event, e Event, about *Filter) {
	for _, cause := range list {
		byShard := about.Match(cause) && slices.Contains(shardCauses, cause.Kind)
		byMember := x.Owner != "" && concerns(cause, x.Owner, e.Member)
		if x.Owner == "" {
			byMember = cause.Host == e.Host && cause.Kind == KindJoin
		}
		if byShard || byMember {
			x.Steps = append(x.Steps, Step{Role: RoleCause, Event: cause})
		}
	}
}

// concerns reports whether an event of memberCauses is about the given host or
// member. An event that names no member is about the host that recorded it.
func concerns(e Event, host ident.Host, member ident.Incarnation) bool {
	if !slices.Contains(memberCauses, e.Kind) {
		return false
	}
	if !e.Member.IsZero() {
		return e.Member.Host == host || (!member.IsZero() && e.Member == member)
	}
	return e.Host == host
}

// WriteExplanation writes an explanation as text: the owner, then one line per step.
func WriteExplanation(w io.Writer, x Explanation) error {
	head := fmt.Sprintf("%s: no change of owner is on the time line", x.Shard)
	if x.Owner != "" {
		head = fmt.Sprintf("%s is at %s since epoch %d", x.Shard, x.Owner, x.Epoch)
	}
	if x.Holder != nil {
		head += "\n" + x.Holder.String()
	}
	if _, err := fmt.Fprintln(w, head); err != nil {
		return fmt.Errorf("write explanation: %w", err)
	}
	marks := map[Role]string{RoleOwner: "=> ", RoleCause: "   ", RoleAfter: " . "}
	for _, s := range x.Steps {
		if _, err := fmt.Fprintln(w, marks[s.Role]+Line(s.Event)); err != nil {
			return fmt.Errorf("write explanation: %w", err)
		}
	}
	return nil
}
