package cmds

import (
	"fmt"
	"os"

	"github.com/monsoonmoor/monsoonmoor/policy"
)

// publishCmd publishes a team's settings.
type publishCmd struct {
	File string `arg:"" type:"existingfile" help:"The team's settings."`
	logFlags
	entryFlags
	Base *uint64 `placeholder:"N" help:"Revision that the settings are based on, in place of the file's base."`
}

// Help implements kong's long help.
func (publishCmd) Help() string {
	return `The settings replace the team's whole subtree. They are refused with exit code
3 when their base is not the revision in force: someone else's change won. The
outcome is read from the log, so a lost answer leaves no doubt. When the log can't
be read at the start nothing is published (exit code 1); when it goes away later
for the rest of --timeout, the outcome is unknown (exit code 4).`
}

// Run implements the command.
func (c *publishCmd) Run(env *Env) error {
	data, err := os.ReadFile(c.File)
	if err != nil {
		return fmt.Errorf("read settings: %w", err)
	}
	document, err := policy.Parse(c.File, data)
	if err != nil {
		return err
	}
	if c.Base != nil {
		document.Base = policy.Revision(*c.Base)
	}
	key, id, err := c.load()
	if err != nil {
		return err
	}
	entry, err := policy.NewChange(key, id, document)
	if err != nil {
		return err
	}
	ctx, publisher, end, err := c.open(env)
	if err != nil {
		return err
	}
	defer end()
	return put(ctx, env, publisher, entry, "team %s: revision %d is in force")
}
