package cmds

import (
	"fmt"
	"os"
	"strings"

	"github.com/monsoonmoor/monsoonmoor/policy"
)

// diffCmd compares a team's settings with those in force.
type diffCmd struct {
	File string `arg:"" type:"existingfile" help:"The team's settings."`
	logFlags
}

// Help implements kong's long help.
func (diffCmd) Help() string {
	return `Writes one line for each field that differs: "~" changed, "+" new, "-" gone.
Fields that a file leaves out count with their defaults.`
}

// diffOut is the result in JSON.
type diffOut struct {
	Team     policy.Team     `json:"team"`
	Revision policy.Revision `json:"revision"`
	Fields   []fieldOut      `json:"fields"`
}

type fieldOut struct {
	Field string `json:"field"`
	Old   string `json:"old,omitempty"`
	New   string `json:"new,omitempty"`
}

// Run implements the command.
func (c *diffCmd) Run(env *Env) error {
	data, err := os.ReadFile(c.File)
	if err != nil {
		return fmt.Errorf("read settings: %w", err)
	}
	document, err := policy.Parse(c.File, data)
	if err != nil {
		return err
	}
	ctx, publisher, end, err := c.open(env)
	if err != nil {
		return err
	}
	defer end()
	state, err := publisher.State(ctx)
	if err != nil {
		return err
	}
	inForce, _ := state.Document(document.Team)
	inForce.Team = document.Team
	out := diffOut{Team: document.Team, Revision: state.Revision(document.Team), Fields: []fieldOut{}}
	var text strings.Builder
	for _, d := range policy.Diff(inForce, document) {
		out.Fields = append(out.Fields, fieldOut{Field: d.Field(), Old: d.Old(), New: d.Now()})
		text.WriteString(d.String() + "\n")
	}
	if document.Base != out.Revision {
		_, _ = fmt.Fprintf(env.stderr, "monsoonmoor: based on revision %d, revision %d is in force\n", document.Base, out.Revision)
	}
	return env.result(out, text.String())
}
