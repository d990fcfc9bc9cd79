package load

import (
	"math/rand/v2"
	"time"
)

// kind is what a call asks for.
type kind uint8

const (
	kindRead kind = iota
	kindWrite
	kindPhotoUp
	kindPhotoDown
)

// String returns the name used in results.
func (k kind) String() string {
	switch k {
	case kindRead:
		return "read"
	case kindWrite:
		return "write"
	case kindPhotoUp:
		return "photo-up"
	case kindPhotoDown:
		return "photo-down"
	}
	return "invalid"
}

// arrival is one call of the schedule.
type arrival struct {
	number int
	// at is the intended start, counted from the start of the run.
	at   time.Duration
	key  int
	kind kind
	// draw decides what the caller does at random.
	draw uint64
}

// schedule draws arrivals: a Poisson process whose only input is the
// configuration, so that a seed gives the same calls in each run.
type schedule struct {
	cfg    Config
	rng    *rand.Rand
	keys   *popularity
	at     time.Duration
	number int
}

func newSchedule(cfg Config) *schedule {
	rng := rand.New(rand.NewPCG(cfg.Seed, scheduleStream))
	return &schedule{cfg: cfg, rng: rng, keys: newPopularity(cfg, rng)}
}

// scheduleStream keeps the schedule's numbers apart from others of its seed.
const scheduleStream = 0x6d6f6f72

// next returns the next arrival. It reports false after the last one.
func (s *schedule) next() (arrival, bool) {
	s.at += time.Duration(s.rng.ExpFloat64() / s.cfg.Rate * float64(time.Second))
	if s.number >= s.cfg.Count || s.cfg.Duration > 0 && s.at >= s.cfg.Duration {
		return arrival{}, false
	}
	s.number++
	return arrival{
		number: s.number,
		at:     s.at,
		key:    s.keys.draw(s.at),
		kind:   s.drawKind(),
		draw:   s.rng.Uint64(),
	}, true
}

func (s *schedule) drawKind() kind {
	x := s.rng.Float64()
	switch {
	case x < s.cfg.Writes:
		return kindWrite
	case x < s.cfg.Writes+s.cfg.Photos/2:
		return kindPhotoUp
	case x < s.cfg.Writes+s.cfg.Photos:
		return kindPhotoDown
	}
	return kindRead
}
