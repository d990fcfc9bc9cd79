package cmds

import (
	"context"
	"fmt"
	"maps"
	"slices"
	"strings"

	"golang.org/x/sync/errgroup"

	"github.com/monsoonmoor/monsoonmoor/ident"
)

// maxAsked bounds the daemons that are asked at once.
const maxAsked = 32

// statusCmd shows what a daemon knows.
type statusCmd struct {
	adminFlags
	Settings bool `help:"Ask every member which revision of the team settings it has in force."`
}

// Help implements kong's long help.
func (statusCmd) Help() string {
	return `Any daemon can be asked. With --settings the command asks every member that this
daemon knows, and ends with exit code 5 if one does not answer.`
}

// Run implements the command.
func (c *statusCmd) Run(env *Env) error {
	ctx, stop := env.Context()
	defer stop()
	operator := env.program.operator("")
	if c.Settings {
		return showRevisions(ctx, env, operator, c.Admin)
	}
	report, err := operator.Status(ctx, c.Admin)
	if err != nil {
		return err
	}
	return env.show(report)
}

// inForce is one team's settings over all daemons.
type inForce struct {
	Team string `json:"team"`
	// Revision is the newest that any daemon has.
	Revision uint64 `json:"revision"`
	// Daemons is the number of daemons that have it.
	Daemons int `json:"daemons"`
	// Behind lists the hosts that have an older one.
	Behind []ident.Host `json:"behind"`
}

// spreadOut is the result of status --settings in JSON.
type spreadOut struct {
	Teams   []inForce `json:"teams"`
	Asked   int       `json:"asked"`
	Missing []string  `json:"missing"`
}

// showRevisions asks all daemons that base knows for their revisions.
func showRevisions(ctx context.Context, env *Env, operator Operator, base string) error {
	first, err := operator.Revisions(ctx, base)
	if err != nil {
		return err
	}
	bases := slices.Clone(first.Members)
	if len(bases) == 0 {
		bases = []string{base}
	}
	answers := make([]Revisions, len(bases))
	failures := make([]error, len(bases))
	var group errgroup.Group
	group.SetLimit(maxAsked)
	for i, member := range bases {
		group.Go(func() error {
			answers[i], failures[i] = operator.Revisions(ctx, member)
			return nil
		})
	}
	_ = group.Wait()
	out := spreadOut{Asked: len(bases), Missing: []string{}}
	var got []Revisions
	for i, err := range failures {
		if err != nil {
			out.Missing = append(out.Missing, bases[i])
			continue
		}
		got = append(got, answers[i])
	}
	out.Teams = compare(got)
	if err := env.result(out, revisionsText(out)); err != nil {
		return err
	}
	if len(out.Missing) > 0 {
		return fmt.Errorf("%w: %s", errPartial, strings.Join(out.Missing, ", "))
	}
	return nil
}

// compare returns for each team where its newest revision is in force.
func compare(answers []Revisions) []inForce {
	newest := map[string]uint64{}
	for _, a := range answers {
		for team, revision := range a.InForce {
			newest[team] = max(newest[team], revision)
		}
	}
	teams := make([]inForce, 0, len(newest))
	for _, team := range slices.Sorted(maps.Keys(newest)) {
		t := inForce{Team: team, Revision: newest[team], Behind: []ident.Host{}}
		for _, a := range answers {
			if a.InForce[team] == t.Revision {
				t.Daemons++
				continue
			}
			t.Behind = append(t.Behind, a.Host)
		}
		teams = append(teams, t)
	}
	return teams
}

func revisionsText(out spreadOut) string {
	var b strings.Builder
	for _, t := range out.Teams {
		fmt.Fprintf(&b, "team %s: revision %d in force at %d of %d daemons", t.Team, t.Revision, t.Daemons, out.Asked)
		for i, host := range t.Behind {
			if i == 0 {
				b.WriteString(", behind:")
			}
			fmt.Fprintf(&b, " %s", host)
		}
		b.WriteByte('\n')
	}
	if len(out.Teams) == 0 {
		b.WriteString("no team settings are in force\n")
	}
	return b.String()
}
