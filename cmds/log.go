package cmds

import (
	"context"
	"crypto/ed25519"
	"fmt"
	"os"
	"time"

	"github.com/monsoonmoor/monsoonmoor/policy"
)

// logFlags reach the stream of settings.
type logFlags struct {
	Log     string        `required:"" env:"MONSOONMOOR_LOG" placeholder:"URL" help:"Base URL of the platform's log."`
	Root    []string      `required:"" env:"MONSOONMOOR_ROOT" placeholder:"KEY" help:"Public root key, as keygen prints it; repeatable."`
	Timeout time.Duration `default:"30s" help:"Time after which the outcome is given up as unknown."`
}

// open returns a publisher and what ends it.
func (f *logFlags) open(env *Env) (context.Context, *policy.Publisher, func(), error) {
	roots, err := policy.ParseRoots(f.Root)
	if err != nil {
		return nil, nil, nil, fmt.Errorf("%w: --root: %w", errUsage, err)
	}
	log, closer, err := env.program.dialLog(f.Log)
	if err != nil {
		return nil, nil, nil, fmt.Errorf("reach the log: %w", err)
	}
	ctx, stop := env.Context()
	ctx, cancel := context.WithTimeout(ctx, f.Timeout)
	end := func() {
		cancel()
		stop()
		_ = closer.Close()
	}
	return ctx, policy.NewPublisher(log, roots), end, nil
}

// entryFlags sign an entry.
type entryFlags struct {
	Key string `required:"" type:"existingfile" placeholder:"FILE" help:"Private key file that signs."`
	ID  string `name:"id" placeholder:"UUID" help:"Id of an earlier attempt with unknown outcome, to repeat it safely."`
}

// load returns the private key and the entry's id.
func (f *entryFlags) load() (ed25519.PrivateKey, policy.ID, error) {
	data, err := os.ReadFile(f.Key)
	if err != nil {
		return nil, policy.ID{}, fmt.Errorf("read key: %w", err)
	}
	key, err := policy.ParsePrivate(data)
	if err != nil {
		return nil, policy.ID{}, fmt.Errorf("%w: --key %s: %w", errUsage, f.Key, err)
	}
	if f.ID == "" {
		return key, policy.NewID(), nil
	}
	id, err := policy.ParseID(f.ID)
	if err != nil {
		return nil, policy.ID{}, fmt.Errorf("%w: --id: %w", errUsage, err)
	}
	return key, id, nil
}

// published is the result of putting an entry on the log.
type published struct {
	ID       string          `json:"id"`
	Team     policy.Team     `json:"team,omitempty"`
	Revision policy.Revision `json:"revision"`
	Offset   uint64          `json:"offset"`
}

// put publishes an entry and writes what became of it.
func put(ctx context.Context, env *Env, p *policy.Publisher, e policy.Entry, format string) error {
	v, offset, err := p.Publish(ctx, e)
	if err != nil {
		return err
	}
	text := fmt.Sprintf(format, v.Team(), v.Revision()) + fmt.Sprintf(" (offset %d)\n", offset)
	out := published{ID: e.ID.String(), Team: v.Team(), Revision: v.Revision(), Offset: offset}
	return env.result(out, text)
}
