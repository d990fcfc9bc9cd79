package load

import (
	"errors"
	"fmt"
	"time"

	"github.com/monsoonmoor/monsoonmoor/ident"
)

// Shape says how the popularity of keys changes in a run.
type Shape string

// Shapes.
const (
	// ShapeSteady keeps popularity as Zipf and Hot give it.
	ShapeSteady Shape = "steady"
	// ShapeRush turns a few keys hot, one after the other.
	ShapeRush Shape = "rush"
	// ShapeGathering turns one key hot in the course of the run.
	ShapeGathering Shape = "gathering"
)

// Defaults of a Config.
const (
	DefaultKeys       = 1000
	DefaultHot        = 23
	DefaultTimeout    = 5 * time.Second
	DefaultInFlight   = 256
	DefaultPath       = "/{service}/keys/{key}"
	DefaultPhotoPath  = "/{service}/photo"
	DefaultPhotoBytes = 256 << 10
)

// maxArrivals bounds a run whatever its rate and duration.
const maxArrivals = 50_000_000

// ErrConfig means that a run's configuration is wrong.
var ErrConfig = errors.New("load configuration")

// Config describes a run.
type Config struct {
	// Targets are the base URLs of the daemons; each attempt takes one at random.
	Targets []string
	Service ident.Service
	// Rate is the mean number of arrivals a second.
	Rate float64
	// Duration bounds the run in time, Count in arrivals (0: no bound).
	Duration time.Duration
	Count    int
	Seed     uint64
	// Keys is the number of keys.
	Keys int
	// Zipf is the exponent of popularity, above 1; 0 makes it uniform.
	Zipf float64
	// Hot is the number of hot keys, HotShare their share of arrivals, and
	// HotEvery how often the hot set changes (0: never).
	Hot      int
	HotShare float64
	HotEvery time.Duration
	Shape    Shape
	// Writes and Photos are shares of arrivals; the rest are reads. Half of the
	// photos go up, half come down.
	Writes float64
	Photos float64
	// PhotoBytes is the size of a photo, up and down.
	PhotoBytes int64
	// ServiceTime asks the upstream for this service time (0: its own).
	ServiceTime time.Duration
	// Timeout is how long a caller waits for its answer, resends included.
	Timeout time.Duration
	// Unkeyed sends writes without an Idempotency-Key; they are not resent
	// when their outcome is unknown.
	Unkeyed bool
	// NoRetry makes callers give up after their first attempt.
	NoRetry bool
	// InFlight bounds the calls in flight; arrivals over it wait and their
	// latency grows.
	InFlight int
	// Path and PhotoPath are templates; {service} and {key} are replaced. The
	// key is always in the Moor-Key header, too.
	Path      string
	PhotoPath string
}

func (c Config) withDefaults() Config {
	setDefault(&c.Keys, DefaultKeys)
	setDefault(&c.Hot, DefaultHot)
	setDefault(&c.Timeout, DefaultTimeout)
	setDefault(&c.InFlight, DefaultInFlight)
	setDefault(&c.Path, DefaultPath)
	setDefault(&c.PhotoPath, DefaultPhotoPath)
	setDefault(&c.PhotoBytes, DefaultPhotoBytes)
	setDefault(&c.Shape, ShapeSteady)
	setDefault(&c.Count, maxArrivals)
	return c
}

func setDefault[T comparable](field *T, value T) {
	var zero T
	if *field == zero {
		*field = value
	}
}

func (c Config) check() error {
	switch {
	case len(c.Targets) == 0:
		return fmt.Errorf("%w: no targets", ErrConfig)
	case c.Rate <= 0:
		return fmt.Errorf("%w: rate %v, want more than 0 a second", ErrConfig, c.Rate)
	case c.Duration <= 0 && c.Count == maxArrivals:
		return fmt.Errorf("%w: neither duration nor count given", ErrConfig)
	case c.Keys < 0, c.InFlight < 0, c.Hot < 0, c.Count < 0:
		return fmt.Errorf("%w: negative number", ErrConfig)
	case c.Zipf != 0 && c.Zipf <= 1:
		return fmt.Errorf("%w: zipf %v, want 0 or more than 1", ErrConfig, c.Zipf)
	case c.Writes < 0, c.Photos < 0, c.Writes+c.Photos > 1:
		return fmt.Errorf("%w: shares of writes and photos must lie between 0 and 1 together", ErrConfig)
	case c.HotShare < 0, c.HotShare > 1:
		return fmt.Errorf("%w: hot share %v, want 0 to 1", ErrConfig, c.HotShare)
	}
	return c.checkShape()
}

func (c Config) checkShape() error {
	switch c.Shape {
	case ShapeSteady:
		return nil
	case ShapeRush, ShapeGathering:
		if c.Duration <= 0 {
			return fmt.Errorf("%w: shape %s needs a duration", ErrConfig, c.Shape)
		}
		return nil
	}
	return fmt.Errorf("%w: shape %q, want steady, rush or gathering", ErrConfig, c.Shape)
}
