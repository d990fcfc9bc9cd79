package table

import (
	"slices"

	"github.com/monsoonmoor/monsoonmoor/ident"
)

// idWindow is the number of a member's latest record ids for which the table
// remembers one by one whether it has seen them. A writer has fewer records
// than that outstanding at any time, so every id below the window was seen or
// abandoned before the newest record was written.
const idWindow = 64

// Apply applies the record at the given offset to the table. The result depends
// only on the table and the arguments, so all readers of the stream compute the
// same table. A void record changes no slot, but it still counts as seen, and
// its sequence number counts, once the checks of its writer have passed.
func (t *Table) Apply(offset uint64, rec Record) Result {
	t.next = offset + 1
	if rec.check() != nil {
		return Result{Reason: ReasonMalformed}
	}
	switch rec.Kind {
	case KindSnapshot:
		return Result{Applied: true}
	case KindJoin:
		return t.join(&rec)
	case KindLeave:
		if rec.Removal.Inc != rec.ID.By {
			return t.fence(rec.Removal)
		}
	default:
	}
	writer := t.lookupMember(rec.ID.By)
	switch {
	case writer == nil:
		return Result{Reason: ReasonUnknownWriter}
	case writer.hasSeen(rec.ID.N):
		return Result{Reason: ReasonDuplicate}
	}
	writer = t.writableMember(rec.ID.By)
	writer.markSeen(rec.ID.N)
	if writer.removed {
		return Result{Reason: ReasonWriterGone}
	}
	if reason := advanceSeq(writer, &rec); reason != ReasonNone {
		return Result{Reason: reason}
	}
	return t.dispatch(writer, &rec)
}

// advanceSeq stores the sequence number of a numbered record as the writer's
// highest one, and returns ReasonStaleSeq when it is not above the highest so
// far. Such a record arrived after a later one and must be void, since readers
// of the later one rely on that. Records of kinds that carry no sequence number
// pass, and so does the first record that sets the writer's witnesses.
func advanceSeq(writer *member, rec *Record) Reason {
	switch rec.Kind {
	case KindMove, KindSuccessors, KindPin, KindRepublish:
	case KindWitnesses:
		if rec.Seq == 0 && writer.witnesses == nil {
			return ReasonNone
		}
	default:
		return ReasonNone
	}
	if rec.Seq <= writer.seq {
		return ReasonStaleSeq
	}
	writer.seq = rec.Seq
	return ReasonNone
}

// dispatch applies a record that passed the checks of its id and sequence
// number, by its kind.
func (t *Table) dispatch(writer *member, rec *Record) Result {
	switch rec.Kind {
	case KindWitnesses:
		return t.setWitnesses(writer, rec.WitnessList)
	case KindClaim:
		return t.claim(writer, rec.Changes)
	case KindMove:
		return t.move(writer, rec.Changes)
	case KindSuccessors:
		return t.setSuccessors(writer, rec.Changes)
	case KindTakeover:
		return t.takeOver(writer, rec.Takeover)
	case KindPin:
		return t.pin(writer, rec.Pin)
	case KindLeave:
		return t.remove(writer.info.Inc)
	case KindEvict:
		return t.remove(rec.Removal.Inc)
	case KindService:
		return t.declareService(rec.Service)
	case KindRepublish:
		return t.republish(writer, rec.Changes)
	default:
		return Result{Reason: ReasonMalformed}
	}
}

// join adds the incarnation that the record announces.
func (t *Table) join(rec *Record) Result {
	inc := rec.Join.Inc
	if m := t.lookupMember(inc); m != nil && m.hasSeen(rec.ID.N) {
		return Result{Reason: ReasonDuplicate}
	}
	switch {
	case inc != rec.ID.By:
		return Result{Reason: ReasonMalformed}
	case t.lookupMember(inc) != nil:
		return Result{Reason: ReasonExists}
	case slices.Contains(t.removed, inc):
		return Result{Reason: ReasonWriterGone}
	case len(t.byInc) >= maxMembers:
		return Result{Reason: ReasonLimit}
	}
	m := &member{gen: t.gen, info: *rec.Join}
	m.markSeen(rec.ID.N)
	t.addMember(m)
	return Result{Applied: true}
}

// setWitnesses sets the writer's witnesses. A record may replace at most one of
// three: the two that remain were told the record's sequence number, so no vote
// of the replaced one can match a vote of theirs.
func (t *Table) setWitnesses(writer *member, list *WitnessList) Result {
	if writer.witnesses != nil {
		kept := 0
		for _, w := range list.Witnesses {
			if slices.Contains(writer.witnesses, w) {
				kept++
			}
		}
		if kept < WitnessCount-1 {
			return Result{Reason: ReasonMalformed}
		}
	}
	writer.witnesses = slices.Clone(list.Witnesses)
	return Result{Applied: true}
}

// claim makes the writer the owner of slots that have no live owner or
// successor.
func (t *Table) claim(writer *member, c *Changes) Result {
	if c.To != writer.info.Inc {
		return Result{Reason: ReasonMalformed}
	}
	if writer.witnesses == nil {
		return Result{Reason: ReasonNoWitnesses}
	}
	id := t.byInc[writer.info.Inc]
	return t.applyIfEpochMatches(c.Service, c.Slots, func(s *slot, ch *Change) (slot, Reason) {
		raise := t.claimEpochRaise(s)
		if raise == 0 {
			return slot{}, ReasonOwned
		}
		return slot{epoch: s.epoch + raise, owner: id, succ: t.successorIDs(ch.Successors)}, ReasonNone
	})
}

// move transfers slots of the writer to another live member.
func (t *Table) move(writer *member, c *Changes) Result {
	to := t.lookupMember(c.To)
	switch {
	case to == nil || to.removed:
		return Result{Reason: ReasonUnknownMember}
	case to.witnesses == nil:
		return Result{Reason: ReasonNoWitnesses}
	}
	return t.reassign(writer, c, t.byInc[c.To])
}

// setSuccessors replaces the successors of slots that the writer owns.
func (t *Table) setSuccessors(writer *member, c *Changes) Result {
	return t.reassign(writer, c, t.byInc[writer.info.Inc])
}

// reassign sets a new owner and new successors for slots that the writer owns.
func (t *Table) reassign(writer *member, c *Changes, to uint32) Result {
	id := t.byInc[writer.info.Inc]
	return t.applyIfEpochMatches(c.Service, c.Slots, func(s *slot, ch *Change) (slot, Reason) {
		if s.owner != id {
			return slot{}, ReasonNotOwner
		}
		return slot{epoch: s.epoch + 1, owner: to, succ: t.successorIDs(ch.Successors)}, ReasonNone
	})
}

// takeOver makes the writer the owner of slots of a removed or fenced member
// that name the writer as successor. The second successor may take over only if
// the first one is removed or fenced too, and skips the epoch that the first
// one's takeover would have had.
func (t *Table) takeOver(writer *member, takeover *Takeover) Result {
	from := t.lookupMember(takeover.From)
	if from == nil {
		return Result{Reason: ReasonUnknownMember}
	}
	if writer.witnesses == nil {
		return Result{Reason: ReasonNoWitnesses}
	}
	id, fromID := t.byInc[writer.info.Inc], t.byInc[takeover.From]
	return t.applyIfEpochMatches(takeover.Service, takeover.Slots, func(s *slot, _ *Change) (slot, Reason) {
		rank := slices.Index(s.succ[:], id)
		switch {
		case s.owner != fromID || rank < 0:
			return slot{}, ReasonNotSuccessor
		case !t.removedOrFenced(fromID, takeover.Votes):
			return slot{}, ReasonMissingVotes
		case rank == 1 && !t.removedOrFenced(s.succ[0], takeover.Votes):
			return slot{}, ReasonMissingVotes
		}
		next := slot{epoch: s.epoch + 1 + ident.Epoch(rank), owner: id}
		if rank == 0 {
			next.succ[0] = s.succ[1]
		}
		return next, ReasonNone
	})
}

// removedOrFenced reports whether the member with the given index can't act any
// more: the stream has removed it, or the given votes fence it.
func (t *Table) removedOrFenced(id uint32, votes []Vote) bool {
	return t.isRemoved(id) || Fenced(votes, t.members[id].info.Inc, t.members[id].witnesses, t.members[id].seq)
}

// Fenced reports whether the votes of two of the given witnesses fence a member:
// both votes are against it and cite the same sequence number, which is at
// least minSeq.
func Fenced(votes []Vote, member ident.Incarnation, witnesses []ident.Incarnation, minSeq ident.Seq) bool {
	for i := range votes {
		a := &votes[i]
		if a.Of != member || a.Seq < minSeq || !slices.Contains(witnesses, a.Witness) {
			continue
		}
		for j := range votes[:i] {
			b := &votes[j]
			if b.Of == member && b.Seq == a.Seq && b.Witness != a.Witness && slices.Contains(witnesses, b.Witness) {
				return true
			}
		}
	}
	return false
}

// fence removes a member that two matching votes are against. The slots that it
// still owns may then be taken over by their successors. Only the votes count:
// any writer may append them, even one that is not a member.
func (t *Table) fence(removal *Removal) Result {
	m := t.lookupMember(removal.Inc)
	if m == nil || m.removed {
		return Result{Reason: ReasonUnknownMember}
	}
	if !Fenced(removal.Votes, removal.Inc, m.witnesses, m.seq) {
		return Result{Reason: ReasonMissingVotes}
	}
	return t.remove(removal.Inc)
}

// remove marks a member as removed. Its later records are void.
func (t *Table) remove(inc ident.Incarnation) Result {
	m := t.lookupMember(inc)
	if m == nil || m.removed {
		return Result{Reason: ReasonUnknownMember}
	}
	m = t.writableMember(inc)
	m.removed = true
	t.purgeIfUnreferenced(inc)
	return Result{Applied: true}
}

// declareService adds a service, all of whose slots are unowned.
func (t *Table) declareService(s *Service) Result {
	if _, ok := t.byName[s.Name]; ok {
		return Result{Reason: ReasonExists}
	}
	if len(t.services) >= maxServices {
		return Result{Reason: ReasonLimit}
	}
	svc := newService(t.gen, s.Name, s.Slots)
	for n := range svc.slots {
		svc.at(ident.Slot(n)).epoch = t.initialEpoch
	}
	t.addService(svc)
	return Result{Applied: true}
}

// pin adds a slot for one key. The slot starts with the owner and successors of
// the key's hash slot, which the writer must own, and with the next epoch.
func (t *Table) pin(writer *member, p *Pin) Result {
	i, ok := t.byName[p.Service]
	if !ok {
		return Result{Reason: ReasonUnknownService}
	}
	svc := t.services[i]
	base := svc.at(p.Base)
	_, pinned := svc.pinOf[p.Hash]
	switch {
	case pinned || p.Slot != ident.Slot(svc.count()):
		return Result{Reason: ReasonExists}
	case base == nil || p.Base != ident.SlotOfHash(p.Hash, svc.slots):
		return Result{Reason: ReasonMalformed}
	case base.owner != t.byInc[writer.info.Inc]:
		return Result{Reason: ReasonNotOwner}
	case base.epoch != p.Replaces:
		return Result{Reason: ReasonEpochMismatch}
	case len(svc.pins) >= maxPins:
		return Result{Reason: ReasonLimit}
	}
	next := *base
	next.epoch++
	t.addPin(p.Service, p.Hash)
	shard := ident.NewShard(p.Service, p.Slot)
	t.setSlot(shard, next)
	return Result{Applied: true, Changed: []ident.Shard{shard}}
}

// republish makes the writer the owner of slots at the epochs that the record
// states. A change is void unless it raises the epoch of its slot.
func (t *Table) republish(writer *member, c *Changes) Result {
	if writer.witnesses == nil {
		return Result{Reason: ReasonNoWitnesses}
	}
	id := t.byInc[writer.info.Inc]
	return t.applyEach(c.Service, c.Slots, func(s *slot, ch *Change) (slot, Reason) {
		if ch.Replaces <= s.epoch {
			return slot{}, ReasonEpochMismatch
		}
		return slot{epoch: ch.Replaces, owner: id, succ: t.successorIDs(ch.Successors)}, ReasonNone
	})
}
