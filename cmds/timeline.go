package cmds

import (
	"context"
	"fmt"
	"strings"
	"time"

	"github.com/monsoonmoor/monsoonmoor/ident"
)

// timelineCmd shows the merged time line of daemons.
type timelineCmd struct {
	Admin   []string      `required:"" env:"MONSOONMOOR_ADMIN" placeholder:"URL" help:"Operator listener of a daemon; repeatable."`
	All     bool          `help:"Ask every member that the first daemon knows as well."`
	Service string        `help:"Only events about this service."`
	Slot    []uint32      `placeholder:"N" help:"Only events about this slot of --service; repeatable."`
	Key     string        `help:"Only events about the slot of this key of --service."`
	Host    []string      `help:"Only events recorded by this host; repeatable."`
	Since   time.Duration `help:"Only events of the last time span, such as 10m."`
	Why     bool          `help:"Explain why the --key or --slot of --service is where it is."`
	Format  string        `enum:"text,json,html" default:"text" help:"Form of the result: text, json or html (one page without outside assets)."`
}

// Help implements kong's long help.
func (timelineCmd) Help() string {
	return `Events of all daemons are merged in causal order. Daemons that do not answer are
named on the standard error, and the exit code is 5.

  monsoonmoor timeline --admin http://10.0.0.1:7101 --all --service events --key borrel-17 --why`
}

// Run implements the command.
func (c *timelineCmd) Run(env *Env) error {
	query, err := c.query()
	if err != nil {
		return err
	}
	ctx, stop := env.Context()
	defer stop()
	operator := env.program.operator("")
	bases, err := c.bases(ctx, operator)
	if err != nil {
		return err
	}
	report, err := operator.Timeline(ctx, bases, query)
	if err != nil {
		return err
	}
	if err := c.write(env, report); err != nil {
		return err
	}
	if missing := report.Missing(); len(missing) > 0 {
		return fmt.Errorf("%w: %s", errPartial, strings.Join(missing, ", "))
	}
	return nil
}

func (c *timelineCmd) query() (Query, error) {
	about := c.Key != "" || len(c.Slot) > 0
	switch {
	case about && c.Service == "":
		return Query{}, fmt.Errorf("%w: --key and --slot need --service", errUsage)
	case c.Why && !about:
		return Query{}, fmt.Errorf("%w: --why needs --service with --key or --slot", errUsage)
	case c.Since < 0:
		return Query{}, fmt.Errorf("%w: --since %s, a positive time span allowed", errUsage, c.Since)
	}
	query := Query{Service: ident.Service(c.Service), Key: c.Key, Since: c.Since, Why: c.Why}
	for _, slot := range c.Slot {
		query.Slots = append(query.Slots, ident.Slot(slot))
	}
	for _, host := range c.Host {
		query.Hosts = append(query.Hosts, ident.Host(host))
	}
	return query, nil
}

// bases returns the daemons to ask.
func (c *timelineCmd) bases(ctx context.Context, operator Operator) ([]string, error) {
	if !c.All {
		return c.Admin, nil
	}
	first, err := operator.Revisions(ctx, c.Admin[0])
	if err != nil {
		return nil, err
	}
	seen := map[string]bool{}
	var bases []string
	for _, base := range append(c.Admin, first.Members...) {
		base = strings.TrimSuffix(base, "/")
		if !seen[base] {
			seen[base] = true
			bases = append(bases, base)
		}
	}
	return bases, nil
}

func (c *timelineCmd) write(env *Env, report PageReport) error {
	switch {
	case c.Format == "html":
		return report.WriteHTML(env.stdout)
	case c.Format == "json" || env.json:
		return report.WriteJSON(env.stdout)
	}
	return report.WriteText(env.stdout)
}
