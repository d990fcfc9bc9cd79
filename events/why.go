package events

import (
	"fmt"
	"io"
	"slices"

	"github.com/monsoonmoor/monsoonmoor/ident"
)

// Role says what an event means for where a shard is.
type Role string

// Roles of a step.
const (
	// RoleOwner marks a change of owner.
	RoleOwner Role = "owner"
	// RoleCause marks an event that led to the change after it.
	RoleCause Role = "cause"
	// RoleAfter marks what happened to the owner since.
	RoleAfter Role = "after"
)

// Step is one event of an Explanation.
type Step struct {
	Role  Role  `json:"role"`
	Event Event `json:"event"`
}

// Explanation is why a shard is where it is.
type Explanation struct {
	Shard ident.Shard `json:"shard"`
	// Owner recorded the last change of owner; empty when none is known.
	Owner ident.Host  `json:"owner,omitempty"`
	Epoch ident.Epoch `json:"epoch,omitempty"`
	// Steps are in causal order.
	Steps []Step `json:"steps"`
	// Holder is who owns the shard by the table of a daemon; nil when none was
	// asked.
	Holder *Holder `json:"holder,omitempty"`
}

// Holder is the owner of a shard as one daemon has read it.
type Holder struct {
	// Owner is the owning member; zero when nobody owns the shard.
	Owner ident.Incarnation `json:"owner"`
	// By is the daemon that was asked, Next the offset of the first record of the
	// ownership stream that it had not read.
	By   ident.Host `json:"by"`
	Next uint64     `json:"next"`
}

// String returns the holder as a sentence.
func (h Holder) String() string {
	owner := "nobody owns it"
	if !h.Owner.IsZero() {
		owner = "owned by " + h.Owner.String()
	}
	return fmt.Sprintf("%s, by the table that %s has read up to offset %d", owner, h.By, h.Next)
}

// ownerKinds are the events that tell of a new owner.
var ownerKinds = []Kind{KindClaim, KindTakeover, KindMove, KindServe}

// shardCauses lead to a change of owner when they are about the shard.
var shardCauses = []Kind{KindStop, KindPin, KindVoid, KindMove, KindShed}

// memberCauses lead to it when they are about the member that lost the shard.
var memberCauses = []Kind{
	KindLapse, KindVote, KindFenced, KindEvict, KindDrain, KindLeave, KindRestart, KindPeer, KindUpstream,
}

// Why picks from a merged time line the chain of events that explains where a
// shard is: every change of owner, and before each what led to it.
func Why(list []Event, shard ident.Shard) Explanation {
	x := Explanation{Shard: shard, Steps: []Step{}}
	about := NewFilter(WithService(shard.Service), WithSlots(shard.Slot))
	start := 0
	for i, e := range list {
		if !takesOver(e, about, x) {
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

// newOwner returns the host that an event of ownerKinds says is the owner: its
// recorder, but for a move, which the giver records with the taker as member.
func newOwner(e Event) ident.Host {
	if e.Kind == KindMove && !e.Member.IsZero() {
		return e.Member.Host
	}
	return e.Host
}

// takesOver reports whether e changes the owner. Several events may tell of
// one change; the first of an epoch counts, and an older epoch is news from a
// log that lags.
func takesOver(e Event, about *Filter, x Explanation) bool {
	if !about.Match(e) || !slices.Contains(ownerKinds, e.Kind) {
		return false
	}
	if x.Owner == "" {
		return true
	}
	return e.Epoch > x.Epoch || (e.Epoch == 0 && newOwner(e) != x.Owner)
}

// addCauses adds what led from the present owner to the change e.
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

// concerns reports whether an event is about the fate of a host or member.
func concerns(e Event, host ident.Host, member ident.Incarnation) bool {
	if !slices.Contains(memberCauses, e.Kind) {
		return false
	}
	if !e.Member.IsZero() {
		return e.Member.Host == host || (!member.IsZero() && e.Member == member)
	}
	return e.Host == host
}

// WriteWhy writes an explanation as text.
func WriteWhy(w io.Writer, x Explanation) error {
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
