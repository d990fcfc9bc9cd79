package admit

import (
	"math"
	"sync"
	"sync/atomic"
	"time"

	"github.com/jonboulle/clockwork"

	"github.com/monsoonmoor/monsoonmoor/hotkey"
	"github.com/monsoonmoor/monsoonmoor/ident"
	"github.com/monsoonmoor/monsoonmoor/wire"
)

// rateTimeConstant is the time constant of the exponentially decaying request
// rate.
const rateTimeConstant = 10 * time.Second

// Meter measures the request rate of one member. It is safe for concurrent use.
type Meter struct {
	clock   clockwork.Clock
	gate    *Gate
	tracker atomic.Pointer[hotkey.Tracker]

	mu    sync.Mutex
	total decayingCount
}

// NewMeter returns a meter. Gate supplies the load of the whole upstream and
// may be nil.
func NewMeter(clock clockwork.Clock, gate *Gate) *Meter {
	return &Meter{clock: clock, gate: gate}
}

// SetTracker sets the tracker that receives each request, to measure slots and keys.
func (m *Meter) SetTracker(t *hotkey.Tracker) {
	m.tracker.Store(t)
}

// RecordRequest records one request for a key.
func (m *Meter) RecordRequest(shard ident.Shard, hash uint64) {
	m.mu.Lock()
	m.total.add(m.clock.Now(), 1)
	m.mu.Unlock()
	if t := m.tracker.Load(); t != nil {
		t.Record(shard.Slot, hash)
	}
}

// Load returns the load of the upstream as this daemon reports it to others.
func (m *Meter) Load(service ident.Service, owned int, leaving bool) wire.Load {
	m.mu.Lock()
	rate := m.total.rate(m.clock.Now())
	m.mu.Unlock()
	load := wire.Load{Service: service, Rate: rate, Owned: uint32(max(0, owned)), Leaving: leaving}
	if m.gate != nil {
		load.Busy, load.Queued, load.Limit, load.Cold = m.gate.AverageLoad()
	}
	return load
}

// decayingCount is a count with exponential decay; rateTimeConstant is its time
// constant.
type decayingCount struct {
	at    time.Time
	value float64
}

func (d *decayingCount) add(now time.Time, n float64) {
	d.decay(now)
	d.value += n
}

func (d *decayingCount) decay(now time.Time) {
	if dt := now.Sub(d.at); dt > 0 {
		d.value *= math.Exp(-dt.Seconds() / rateTimeConstant.Seconds())
		d.at = now
	}
}

// rate returns the counted events per second.
func (d *decayingCount) rate(now time.Time) float64 {
	d.decay(now)
	return d.value / rateTimeConstant.Seconds()
}
