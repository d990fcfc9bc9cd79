package rigcmd

import (
	"time"

	"github.com/monsoonmoor/monsoonmoor/logsrv"
)

// logCmd runs the append-only log.
type logCmd struct {
	Listen  string        `help:"Address to listen on." default:"127.0.0.1:7000"`
	Rate    float64       `help:"Appends a second for all streams together." default:"400"`
	Age     time.Duration `help:"How long a record is kept." default:"1h"`
	Count   int           `help:"How many records a stream keeps." default:"100000"`
	Control bool          `help:"Take orders for faults and limits by POST /control?outage=refuse|reset|hang|&delay=1s&lose=N&rate=N&age=D&count=N."`
}

// Run implements the command.
func (c *logCmd) Run(e *env) error {
	opts := []logsrv.Option{
		logsrv.WithClock(e.clock),
		logsrv.WithLogger(e.log),
		logsrv.WithRate(c.Rate),
		logsrv.WithRetention(c.Age, c.Count),
	}
	if c.Control {
		opts = append(opts, logsrv.WithControl())
	}
	return e.serve("log", c.Listen, logsrv.New(opts...))
}
