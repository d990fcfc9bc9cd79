package policy

import (
	"crypto/ed25519"
	"fmt"
	"sync/atomic"
	"time"
)

// Follower applies the stream of settings as it is read, and tells when to
// write a snapshot. State may be called from any goroutine, the other methods
// from the reader's alone.
type Follower struct {
	state atomic.Pointer[State]
	duty  *Duty
}

// NewFollower returns a follower under the operators' root keys, for a log that
// keeps entries for the time retention.
func NewFollower(roots []ed25519.PublicKey, retention time.Duration) *Follower {
	f := &Follower{duty: NewDuty(retention)}
	f.state.Store(NewState(roots...))
	return f
}

// State returns the settings in force.
func (f *Follower) State() *State { return f.state.Load() }

// Record applies what stands on the log at offset. What cannot be decoded is
// skipped, as it is by every reader.
func (f *Follower) Record(offset uint64, data []byte) (Entry, Verdict) {
	e, err := Decode(data)
	if err != nil {
		e = Entry{}
	}
	next, verdict := f.State().Apply(offset, e)
	f.state.Store(next)
	if err != nil {
		verdict.note = err.Error()
	}
	return e, verdict
}

// Gap notes that the oldest entry that is left to read has the offset first.
func (f *Follower) Gap(first uint64) {
	f.state.Store(f.State().Resume(first))
}

// End notes that the stream's end has been reached, and returns the entries of
// a snapshot when the member should append one now. The rank is the member's
// place among all members, counted from 0; it should be called every second or
// so while the reader is at the end.
func (f *Follower) End(now time.Time, rank int) ([]Entry, error) {
	state := f.State()
	if !f.duty.Due(now, rank, state) {
		return nil, nil
	}
	return state.Chunks(NewID())
}

// Export returns the settings in force in a form that Seed reads.
func (f *Follower) Export() ([][]byte, error) {
	entries, err := f.State().Chunks(NewID())
	if err != nil {
		return nil, err
	}
	parts := make([][]byte, len(entries))
	for i, e := range entries {
		if parts[i], err = Encode(e); err != nil {
			return nil, err
		}
	}
	return parts, nil
}

// Seed puts the settings that another member exported in force, for a member
// that boots while the log is down. Their signatures are checked. The state is
// not whole until the log has been read; a state that has read anything takes
// no seed.
func (f *Follower) Seed(parts [][]byte) error {
	state := f.State()
	for i, part := range parts {
		e, err := Decode(part)
		if err != nil {
			return fmt.Errorf("seed settings, part %d: %w", i+1, err)
		}
		if state, err = state.seed(e); err != nil {
			return fmt.Errorf("seed settings, part %d: %w", i+1, err)
		}
	}
	f.state.Store(state)
	return nil
}
