package load

import (
	"math/rand/v2"
	"time"
)

// The shapes, as shares of a run's duration and of its arrivals.
const (
	// rushKeys keys turn hot one after the other, each with rushShare of all
	// arrivals; the first at rushStart, the last at rushEnd.
	rushKeys  = 5
	rushShare = 0.1
	rushStart = 0.2
	rushEnd   = 0.6
	// gatheringShare is what the one hot key takes at the end of its rise.
	gatheringShare = 0.4
	gatheringStart = 0.2
	gatheringEnd   = 0.6
)

// popularity draws keys: hot ones by shape and hot set, the others by rank.
type popularity struct {
	cfg  Config
	rng  *rand.Rand
	zipf *rand.Zipf
}

func newPopularity(cfg Config, rng *rand.Rand) *popularity {
	p := &popularity{cfg: cfg, rng: rng}
	if cfg.Zipf > 1 {
		p.zipf = rand.NewZipf(rng, cfg.Zipf, 1, uint64(cfg.Keys-1))
	}
	return p
}

// draw returns the key of an arrival at the given time of the run.
func (p *popularity) draw(at time.Duration) int {
	x := p.rng.Float64()
	hot, share := p.shape(at)
	if x < share {
		return p.hotKey(0, int(x/share*float64(hot)))
	}
	if p.cfg.HotShare > 0 && p.rng.Float64() < p.cfg.HotShare {
		return p.hotKey(p.round(at), p.rng.IntN(p.cfg.Hot))
	}
	if p.zipf != nil {
		return int(p.zipf.Uint64())
	}
	return p.rng.IntN(p.cfg.Keys)
}

// shape returns how many keys the shape has made hot, and their share of
// arrivals.
func (p *popularity) shape(at time.Duration) (hot int, share float64) {
	if p.cfg.Shape == ShapeSteady {
		return 0, 0
	}
	x := float64(at) / float64(p.cfg.Duration)
	if p.cfg.Shape == ShapeGathering {
		return 1, gatheringShare * ramp(x, gatheringStart, gatheringEnd)
	}
	if x < rushStart {
		return 0, 0
	}
	hot = 1 + int((rushKeys-1)*ramp(x, rushStart, rushEnd))
	return hot, rushShare * float64(hot)
}

// ramp rises from 0 at start to 1 at end.
func ramp(x, start, end float64) float64 {
	return min(1, max(0, (x-start)/(end-start)))
}

func (p *popularity) round(at time.Duration) int {
	if p.cfg.HotEvery <= 0 {
		return 0
	}
	return int(at / p.cfg.HotEvery)
}

// hotKey returns the i-th hot key of a round.
func (p *popularity) hotKey(round, i int) int {
	r := rand.New(rand.NewPCG(p.cfg.Seed+uint64(round), uint64(i)))
	return r.IntN(p.cfg.Keys)
}
