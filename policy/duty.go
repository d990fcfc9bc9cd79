package policy

import "time"

// Duty decides when one reader should write a snapshot, so that one is always
// on the log well within its retention time, and seldom two. All members run
// the same duty; a member's rank delays it behind those of lower rank.
type Duty struct {
	every  time.Duration
	start  time.Time
	begun  bool
	tried  time.Time
	offset uint64
}

// dutyStep is the delay between members of successive rank.
const dutyStep = 2 * time.Second

// dutyShare is the number of snapshots that should be written within the
// retention time.
const dutyShare = 4

// NewDuty returns the duty of a member for a log that keeps entries for the
// time retention.
func NewDuty(retention time.Duration) *Duty {
	return &Duty{every: retention / dutyShare}
}

// Due reports whether the member with the given rank, counted from 0, should
// write a snapshot of state now. The state must be that of the stream's end. A
// member that has just booted cannot tell how old the newest snapshot is, and
// takes it to be overdue.
func (d *Duty) Due(now time.Time, rank int, state *State) bool {
	if !state.IsWhole() {
		return false
	}
	delay := min(time.Duration(rank+1)*dutyStep, d.every)
	offset, _ := state.Snapshot()
	switch {
	case !d.begun:
		d.begun, d.offset, d.start = true, offset, now
	case offset != d.offset:
		d.offset, d.start = offset, now.Add(d.every)
	}
	if now.Before(d.start.Add(delay)) || now.Before(d.tried.Add(delay)) {
		return false
	}
	d.tried = now
	return true
}
