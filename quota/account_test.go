package quota_test

import (
	"bytes"
	"context"
	"errors"
	"io"
	"math/rand/v2"
	"sync"
	"testing"
	"time"

	qt "github.com/frankban/quicktest"
	"github.com/jonboulle/clockwork"

	"github.com/monsoonmoor/monsoonmoor/quota"
)

const (
	capacity = 1 << 20
	limit    = 1 << 20
)

// sender is a body that the test feeds piece by piece.
type sender struct {
	pieces  chan []byte
	aborted chan struct{}
	once    sync.Once
	rest    []byte
}

func newSender() *sender {
	return &sender{pieces: make(chan []byte), aborted: make(chan struct{})}
}

func (s *sender) abort() { s.once.Do(func() { close(s.aborted) }) }

var errAborted = errors.New("aborted")

// Read implements io.Reader.
func (s *sender) Read(p []byte) (int, error) {
	if len(s.rest) == 0 {
		select {
		case piece, ok := <-s.pieces:
			if !ok {
				return 0, io.EOF
			}
			s.rest = piece
		case <-s.aborted:
			return 0, errAborted
		}
	}
	n := copy(p, s.rest)
	s.rest = s.rest[n:]
	return n, nil
}

// result is what Read has returned.
type result struct {
	share *quota.Share
	err   error
}

// start reads a body of the given length in the background.
func start(a *quota.Account, s *sender, length int64) chan result {
	done := make(chan result, 1)
	go func() {
		_, share, err := a.Read(context.Background(), s, length, limit, s.abort)
		done <- result{share, err}
	}()
	return done
}

// await advances the clock in steps until a body has been read.
func await(clock *clockwork.FakeClock, done chan result, step time.Duration) result {
	for {
		select {
		case r := <-done:
			return r
		case <-time.After(time.Millisecond):
			clock.Advance(step)
		}
	}
}

// awaitUsed waits until the bodies of an account have taken n bytes.
func awaitUsed(a *quota.Account, n int64) {
	for used := int64(0); used != n; time.Sleep(time.Millisecond) {
		used, _, _ = a.Stats()
	}
}

// fill reads a body of n bytes that arrives at once.
func fill(c *qt.C, a *quota.Account, n int) *quota.Share {
	c.Helper()
	body, share, err := a.Read(context.Background(), bytes.NewReader(make([]byte, n)), int64(n), limit, func() {})
	c.Assert(err, qt.IsNil)
	c.Assert(body.Len(), qt.Equals, n)
	return share
}

// A body that is held, or that arrives fast, keeps its room: a newcomer without room waits and
// is then refused.
func TestRefusedWithoutRoom(t *testing.T) {
	c := qt.New(t)
	clock := clockwork.NewFakeClock()
	a := quota.New(capacity, quota.WithClock(clock))
	held := fill(c, a, capacity/2)
	fast := newSender()
	reading := start(a, fast, capacity/2)
	fast.pieces <- make([]byte, capacity/2-1)
	awaitUsed(a, capacity)
	newcomer := start(a, newSender(), 1000)
	c.Assert(await(clock, newcomer, 20*time.Millisecond).err, qt.ErrorIs, quota.ErrFull)
	fast.pieces <- make([]byte, 1)
	r := <-reading
	c.Assert(r.err, qt.IsNil)
	held.Release()
	r.share.Release()
	used, ended, refused := a.Stats()
	c.Assert([]int64{used, ended, refused}, qt.DeepEquals, []int64{0, 0, 1})
}

// Bodies that stop just short of their end, or of which a byte comes now and then, are ended
// when others need their room, and not before. Otherwise a few such clients would keep all
// others out.
func TestSlowBodyMakesRoom(t *testing.T) {
	for name, drip := range map[string]bool{"stopped": false, "dripping": true} {
		t.Run(name, func(t *testing.T) {
			c := qt.New(t)
			clock := clockwork.NewFakeClock()
			a := quota.New(capacity, quota.WithClock(clock))
			slow := newSender()
			reading := start(a, slow, capacity)
			slow.pieces <- make([]byte, capacity-100)
			awaitUsed(a, capacity)
			for range 4 {
				clock.Advance(1100 * time.Millisecond)
				if drip {
					slow.pieces <- make([]byte, 1)
				}
			}
			select {
			case r := <-reading:
				c.Fatalf("ended though nobody needs its room: %v", r.err)
			default:
			}
			fill(c, a, 50_000).Release()
			c.Assert((<-reading).err, qt.ErrorIs, quota.ErrSlow)
			used, ended, refused := a.Stats()
			c.Assert([]int64{used, ended, refused}, qt.DeepEquals, []int64{0, 1, 0})
		})
	}
}

// Bodies without a length take room as they arrive, and end at the limit.
func TestUnknownLength(t *testing.T) {
	c := qt.New(t)
	a := quota.New(2 * limit)
	data := make([]byte, 300_000)
	for i := range data {
		data[i] = byte(i * 7)
	}
	body, share, err := a.Read(context.Background(), bytes.NewReader(data), -1, limit, func() {})
	c.Assert(err, qt.IsNil)
	c.Assert(body.Len(), qt.Equals, len(data))
	got, err := io.ReadAll(body.Reader())
	c.Assert(err, qt.IsNil)
	c.Assert(bytes.Equal(got, data), qt.IsTrue)
	got, err = io.ReadAll(body)
	c.Assert(err, qt.IsNil)
	c.Assert(bytes.Equal(got, data), qt.IsTrue)
	body.Rewind()
	c.Assert(bytes.Equal(body.Bytes(), data), qt.IsTrue)
	share.Release()
	_, _, err = a.Read(context.Background(), bytes.NewReader(make([]byte, limit+1)), -1, limit, func() {})
	c.Assert(err, qt.ErrorIs, quota.ErrTooLarge)
	_, _, err = a.Read(context.Background(), bytes.NewReader(nil), limit+1, limit, func() {})
	c.Assert(err, qt.ErrorIs, quota.ErrTooLarge)
	_, _, err = a.Read(context.Background(), bytes.NewReader(make([]byte, 10)), 11, limit, func() {})
	c.Assert(err, qt.ErrorIs, io.ErrUnexpectedEOF)
	used, _, _ := a.Stats()
	c.Assert(used, qt.Equals, int64(0))
}

// Whatever the bodies do, the room in use stays within the capacity and is all returned.
func TestRoomIsReturned(t *testing.T) {
	c := qt.New(t)
	a := quota.New(capacity)
	var readers sync.WaitGroup
	for seed := range uint64(8) {
		readers.Add(1)
		go func() {
			defer readers.Done()
			rng := rand.New(rand.NewPCG(seed, 1))
			for range 10 {
				n := rng.IntN(limit / 4)
				length := int64(n + rng.IntN(2)*100)
				if rng.IntN(3) == 0 {
					length = -1
				}
				_, share, _ := a.Read(context.Background(), bytes.NewReader(make([]byte, n)), length, limit, func() {})
				used, _, _ := a.Stats()
				c.Check(used <= capacity, qt.IsTrue)
				share.Release()
				share.Release()
			}
		}()
	}
	readers.Wait()
	used, _, _ := a.Stats()
	c.Assert(used, qt.Equals, int64(0))
}
