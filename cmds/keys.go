package cmds

import (
	"crypto/ed25519"
	"fmt"
	"os"

	"github.com/monsoonmoor/monsoonmoor/policy"
	"github.com/monsoonmoor/monsoonmoor/strict"
)

// privateMode keeps private keys from other users.
const privateMode = 0o600

// keygenCmd makes a key pair.
type keygenCmd struct {
	Out string `required:"" placeholder:"FILE" help:"New file for the private key."`
}

// Help implements kong's long help.
func (keygenCmd) Help() string {
	return `Writes the private key to the file, which must not exist, and the public key to
the standard output. Team keys and root keys are of the same kind: what makes a
root key is its listing under "roots" in the settings of the daemons.`
}

// Run implements the command.
func (c *keygenCmd) Run(env *Env) error {
	public, private, err := ed25519.GenerateKey(nil)
	if err != nil {
		return fmt.Errorf("make key pair: %w", err)
	}
	data, err := policy.FormatPrivate(private)
	if err != nil {
		return err
	}
	if err := writeNew(c.Out, data); err != nil {
		return fmt.Errorf("write private key: %w", err)
	}
	text := policy.FormatPublic(public)
	return env.result(struct {
		Public string `json:"public"`
	}{text}, text+"\n")
}

// writeNew writes a file that must not exist yet.
func writeNew(name string, data []byte) error {
	f, err := os.OpenFile(name, os.O_WRONLY|os.O_CREATE|os.O_EXCL, privateMode)
	if err != nil {
		return err
	}
	if _, err := f.Write(data); err != nil {
		_ = f.Close()
		return err
	}
	return f.Close()
}

// rotateCmd gives a team a key.
type rotateCmd struct {
	Team   string `arg:"" help:"The team."`
	Public string `required:"" placeholder:"KEY" help:"The team's new public key, as keygen prints it."`
	logFlags
	entryFlags
}

// Help implements kong's long help.
func (rotateCmd) Help() string {
	return `A team's first key must be signed with the root key (--key), a later one with the
root key or the team's key in force. The old key signs nothing from then on.`
}

// Run implements the command.
func (c *rotateCmd) Run(env *Env) error {
	if !strict.IsName(c.Team) {
		return fmt.Errorf("%w: team %q, %s allowed", errUsage, c.Team, strict.NameRule)
	}
	public, err := policy.ParsePublic(c.Public)
	if err != nil {
		return fmt.Errorf("%w: --public: %w", errUsage, err)
	}
	key, id, err := c.load()
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
	team := policy.Team(c.Team)
	inForce, number, _ := state.Key(team)
	if !inForce.Equal(public) {
		number++
	}
	entry, err := policy.NewKey(key, id, policy.KeyGrant{Team: team, Number: number, Key: public})
	if err != nil {
		return err
	}
	return put(ctx, env, publisher, entry, fmt.Sprintf("team %%s: key %d is in force at revision %%d", number))
}

// genesisCmd starts settings anew.
type genesisCmd struct {
	logFlags
	entryFlags
}

// Help implements kong's long help.
func (genesisCmd) Help() string {
	return `For the case that no daemon ran for longer than the log keeps records, so that
neither the settings nor a snapshot of them is left. Signed with the root key. It
has no effect on daemons that still hold the settings. Afterwards give the teams
their keys with rotate, and publish.`
}

// Run implements the command.
func (c *genesisCmd) Run(env *Env) error {
	key, id, err := c.load()
	if err != nil {
		return err
	}
	entry, err := policy.NewGenesis(key, id)
	if err != nil {
		return err
	}
	ctx, publisher, end, err := c.open(env)
	if err != nil {
		return err
	}
	defer end()
	return put(ctx, env, publisher, entry, "settings start anew%.0s%.0d")
}
