package cmds

import (
	"errors"
	"fmt"
	"os"
	"slices"
	"strings"

	"github.com/monsoonmoor/monsoonmoor/config"
	"github.com/monsoonmoor/monsoonmoor/policy"
	"github.com/monsoonmoor/monsoonmoor/strict"
)

// checkCmd checks settings files.
type checkCmd struct {
	Files []string `arg:"" name:"file" help:"Settings file of a daemon or of a team."`
}

// Help implements kong's long help.
func (checkCmd) Help() string {
	return `A file with a field "team" or "services" holds a team's settings, any other a
daemon's. Every fault is written as file:line: field: what is allowed.`
}

// checked is what was found out about one file.
type checked struct {
	File     string       `json:"file"`
	Kind     string       `json:"kind"`
	Problems []problemOut `json:"problems"`
}

type problemOut struct {
	Line  int    `json:"line"`
	Field string `json:"field,omitempty"`
	Text  string `json:"text"`
}

// Run implements the command.
func (c *checkCmd) Run(env *Env) error {
	var text strings.Builder
	var all strict.Problems
	results := make([]checked, 0, len(c.Files))
	for _, name := range c.Files {
		data, err := os.ReadFile(name)
		if err != nil {
			return fmt.Errorf("read settings: %w", err)
		}
		kind, err := checkFile(name, data)
		var problems strict.Problems
		if err != nil && !errors.As(err, &problems) {
			return err
		}
		all = append(all, problems...)
		results = append(results, newChecked(name, kind, problems))
		if err == nil {
			fmt.Fprintf(&text, "%s: settings of a %s are valid\n", name, kind)
		}
	}
	if err := env.result(results, text.String()); err != nil {
		return err
	}
	if len(all) > 0 {
		return all
	}
	return nil
}

// checkFile checks settings of either kind and says of which they are.
func checkFile(name string, data []byte) (kind string, err error) {
	fields := strict.TopLevelFields(data)
	if slices.Contains(fields, "team") || slices.Contains(fields, "services") {
		_, err = policy.Parse(name, data)
		return "team", err
	}
	_, err = config.Parse(name, data)
	return "daemon", err
}

func newChecked(name, kind string, problems strict.Problems) checked {
	c := checked{File: name, Kind: kind, Problems: []problemOut{}}
	for _, p := range problems {
		c.Problems = append(c.Problems, problemOut{Line: p.Line(), Field: p.Field(), Text: p.Text()})
	}
	return c
}
