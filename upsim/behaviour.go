package upsim

import (
	"flag"
	"fmt"
	"io"
	"math/rand/v2"
	"net/url"
	"time"
)

// maxSpread bounds an exponential service time in means.
const maxSpread = 10

// Behaviour is what can be changed while the upstream runs.
type Behaviour struct {
	// Service is the mean service time of a request without one of its own.
	Service time.Duration `json:"service"`
	// Spread makes service times exponential around the mean.
	Spread bool `json:"spread"`
	// ColdFor is how long the upstream is slower after its start, and
	// ColdFactor how many times slower it is at first.
	ColdFor    time.Duration `json:"cold"`
	ColdFactor float64       `json:"factor"`
	// Shed is the share of requests that are refused at random, 0 to 1.
	Shed float64 `json:"shed"`
	// HealthLag is how old the state that the health and load endpoints show
	// can be.
	HealthLag time.Duration `json:"lag"`
	// HealthLies makes the health and load endpoints claim an idle upstream.
	HealthLies bool `json:"lies"`
}

// apply changes the named values and leaves the others.
func (b *Behaviour) apply(values url.Values) error {
	fs := flag.NewFlagSet("behaviour", flag.ContinueOnError)
	fs.SetOutput(io.Discard)
	fs.DurationVar(&b.Service, "service", b.Service, "")
	fs.BoolVar(&b.Spread, "spread", b.Spread, "")
	fs.DurationVar(&b.ColdFor, "cold", b.ColdFor, "")
	fs.Float64Var(&b.ColdFactor, "factor", b.ColdFactor, "")
	fs.Float64Var(&b.Shed, "shed", b.Shed, "")
	fs.DurationVar(&b.HealthLag, "lag", b.HealthLag, "")
	fs.BoolVar(&b.HealthLies, "lies", b.HealthLies, "")
	for name := range values {
		if err := fs.Set(name, values.Get(name)); err != nil {
			return fmt.Errorf("set %s: %w", name, err)
		}
	}
	return nil
}

// duration returns the service time of a request that arrives when the
// upstream has run for age. Asked is the request's own wish; negative if none.
func (b *Behaviour) duration(asked, age time.Duration) time.Duration {
	d := b.Service
	if b.Spread {
		d = time.Duration(float64(d) * min(rand.ExpFloat64(), maxSpread))
	}
	if asked >= 0 {
		d = asked
	}
	return time.Duration(float64(d) * b.slowness(age))
}

// slowness falls from ColdFactor to 1 in the course of ColdFor.
func (b *Behaviour) slowness(age time.Duration) float64 {
	if !b.isCold(age) || b.ColdFactor <= 1 {
		return 1
	}
	left := 1 - float64(age)/float64(b.ColdFor)
	return 1 + (b.ColdFactor-1)*left
}

func (b *Behaviour) isCold(age time.Duration) bool {
	return age < b.ColdFor
}

func (b *Behaviour) sheds() bool {
	return b.Shed > 0 && rand.Float64() < b.Shed
}
