package rigcmd

import (
	"errors"
	"fmt"
	"io"
	"os"
	"time"

	"github.com/monsoonmoor/monsoonmoor/ident"
	"github.com/monsoonmoor/monsoonmoor/load"
)

// loadCmd runs the load generator.
type loadCmd struct {
	Targets  []string      `arg:"" help:"Base URLs of the daemons."`
	Service  string        `help:"Service to call." required:""`
	Rate     float64       `help:"Mean arrivals a second." default:"200"`
	Duration time.Duration `help:"Length of the run." default:"10s"`
	Count    int           `help:"Most arrivals (0: no bound)."`
	Seed     uint64        `help:"Seed of the schedule." default:"1"`
	Keys     int           `help:"Number of keys." default:"1000"`
	Zipf     float64       `help:"Exponent of popularity, above 1 (0: uniform)."`
	Hot      int           `help:"Number of hot keys." default:"23"`
	HotShare float64       `help:"Share of arrivals that go to hot keys."`
	HotEvery time.Duration `help:"How often the hot keys change (0: never)."`
	Shape    string        `help:"Course of popularity: ${enum}." enum:"steady,rush,gathering" default:"steady"`
	Writes   float64       `help:"Share of writes." default:"0.2"`
	Photos   float64       `help:"Share of photos." default:"0"`
	Bytes    int64         `help:"Size of a photo." default:"262144"`
	Time     time.Duration `help:"Service time asked of the upstream (0: its own)."`
	Timeout  time.Duration `help:"How long a caller waits, resends included." default:"5s"`
	Unkeyed  bool          `help:"Send writes without an Idempotency-Key."`
	NoRetry  bool          `help:"Give up after the first attempt."`
	InFlight int           `help:"Most calls in flight." default:"256"`
	Path     string        `help:"Path of reads and writes." default:"/{service}/keys/{key}"`
	Photo    string        `help:"Path of photos." default:"/{service}/photo"`
	History  string        `help:"File to append the history of attempts to." type:"path"`
	JSON     bool          `name:"json" help:"Print the result as JSON."`
	Plot     string        `help:"File for a picture of balance and availability (.svg or .png)." type:"path"`
}

// Run implements the command.
func (c *loadCmd) Run(e *env) error {
	history, err := openHistory(c.History)
	if err != nil {
		return err
	}
	res, err := load.Run(e.ctx, c.config(), load.WithClock(e.clock), load.WithHistory(history))
	if err := errors.Join(err, history.Close()); err != nil {
		return fmt.Errorf("run load: %w", err)
	}
	if c.Plot != "" {
		if err := plotResult(res, c.Plot); err != nil {
			return err
		}
	}
	if c.JSON {
		return res.WriteJSON(e.stdout)
	}
	return res.WriteText(e.stdout)
}

func (c *loadCmd) config() load.Config {
	return load.Config{
		Targets:     c.Targets,
		Service:     ident.Service(c.Service),
		Rate:        c.Rate,
		Duration:    c.Duration,
		Count:       c.Count,
		Seed:        c.Seed,
		Keys:        c.Keys,
		Zipf:        c.Zipf,
		Hot:         c.Hot,
		HotShare:    c.HotShare,
		HotEvery:    c.HotEvery,
		Shape:       load.Shape(c.Shape),
		Writes:      c.Writes,
		Photos:      c.Photos,
		PhotoBytes:  c.Bytes,
		ServiceTime: c.Time,
		Timeout:     c.Timeout,
		Unkeyed:     c.Unkeyed,
		NoRetry:     c.NoRetry,
		InFlight:    c.InFlight,
		Path:        c.Path,
		PhotoPath:   c.Photo,
	}
}

// discard is a history that nobody keeps.
type discard struct{ io.Writer }

// Close implements io.Closer.
func (discard) Close() error { return nil }

// openHistory opens a history for appending. Each line is written with one
// system call, so that it outlives a SIGKILL of the process.
func openHistory(path string) (io.WriteCloser, error) {
	if path == "" {
		return discard{io.Discard}, nil
	}
	f, err := os.OpenFile(path, os.O_CREATE|os.O_APPEND|os.O_WRONLY, 0o644)
	if err != nil {
		return nil, fmt.Errorf("open history: %w", err)
	}
	return f, nil
}
