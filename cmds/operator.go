package cmds

import (
	"context"
	"fmt"
	"os"
	"os/user"
	"strings"

	"github.com/monsoonmoor/monsoonmoor/ident"
)

// adminFlags reach one daemon's operator listener.
type adminFlags struct {
	Admin string `default:"http://127.0.0.1:7101" env:"MONSOONMOOR_ADMIN" placeholder:"URL" help:"Operator listener of a daemon (default ${default})."`
}

// orderFlags reach one daemon's operator listener with an order.
type orderFlags struct {
	adminFlags
	Token string `env:"MONSOONMOOR_TOKEN" type:"existingfile" placeholder:"FILE" help:"File with the operators' token."`
}

// open returns an operator client that may give orders.
func (f *orderFlags) open(env *Env) (Operator, error) {
	if f.Token == "" {
		return env.program.operator(""), nil
	}
	data, err := os.ReadFile(f.Token)
	if err != nil {
		return nil, fmt.Errorf("read token: %w", err)
	}
	return env.program.operator(strings.TrimSpace(string(data))), nil
}

// order gives one order and writes that it was taken.
func (f *orderFlags) order(env *Env, done string, give func(context.Context, Operator) error) error {
	operator, err := f.open(env)
	if err != nil {
		return err
	}
	ctx, stop := env.Context()
	defer stop()
	if err := give(ctx, operator); err != nil {
		return err
	}
	return env.result(struct {
		Done string `json:"done"`
	}{done}, done+"\n")
}

// drainCmd makes a daemon leave.
type drainCmd struct {
	orderFlags
}

// Run implements the command.
func (c *drainCmd) Run(env *Env) error {
	return c.order(env, "drain of "+c.Admin+" has begun", func(ctx context.Context, o Operator) error {
		return o.Drain(ctx, c.Admin)
	})
}

// evictCmd declares a member gone.
type evictCmd struct {
	Member string `arg:"" help:"The member, as host~boot (see status)."`
	orderFlags
	Operator string `help:"Who orders it, for the time line; your user name by default."`
}

// Help implements kong's long help.
func (evictCmd) Help() string {
	return `Only for a host that is certainly down or cut off for good, when its successors
cannot take over by themselves (two of its witnesses are lost as well). If the member
still serves, its keys may have two owners until its lease ends.`
}

// Run implements the command.
func (c *evictCmd) Run(env *Env) error {
	of, err := ident.ParseIncarnation(c.Member)
	if err != nil || of.IsZero() {
		return fmt.Errorf("%w: member %q, host~boot needed", errUsage, c.Member)
	}
	who := c.Operator
	if who == "" {
		who = userName()
	}
	return c.order(env, "eviction of "+of.String()+" is ordered", func(ctx context.Context, o Operator) error {
		return o.Evict(ctx, c.Admin, of, who)
	})
}

func userName() string {
	if u, err := user.Current(); err == nil {
		return u.Username
	}
	return "unknown"
}

// quarantineCmd shows and lifts quarantines.
type quarantineCmd struct {
	List quarantineListCmd `cmd:"" default:"withargs" help:"List the requests that are suspected or refused (default)."`
	Lift quarantineLiftCmd `cmd:"" help:"Lift the quarantine of a request."`
}

// quarantineListCmd lists quarantined requests.
type quarantineListCmd struct {
	adminFlags
}

// Run implements the command.
func (c *quarantineListCmd) Run(env *Env) error {
	ctx, stop := env.Context()
	defer stop()
	report, err := env.program.operator("").Quarantine(ctx, c.Admin)
	if err != nil {
		return err
	}
	return env.show(report)
}

// quarantineLiftCmd lifts one quarantine.
type quarantineLiftCmd struct {
	Service     string `arg:"" help:"The service."`
	Fingerprint string `arg:"" help:"The request's fingerprint, as listed."`
	orderFlags
}

// Run implements the command.
func (c *quarantineLiftCmd) Run(env *Env) error {
	return c.order(env, "quarantine of "+c.Fingerprint+" is lifted", func(ctx context.Context, o Operator) error {
		return o.Lift(ctx, c.Admin, ident.Service(c.Service), c.Fingerprint)
	})
}
