package daemon

import (
	"context"
	"errors"
	"fmt"
	"io"
	"time"

	"github.com/fxamacker/cbor/v2"

	"github.com/monsoonmoor/monsoonmoor/admin"
	"github.com/monsoonmoor/monsoonmoor/core"
	"github.com/monsoonmoor/monsoonmoor/events"
	"github.com/monsoonmoor/monsoonmoor/table"
)

const (
	// seedWait is how long a daemon that boots waits for the log before it asks
	// other daemons.
	seedWait = 2 * time.Second
	// seedTimeout bounds the answer of one daemon.
	seedTimeout = 2 * time.Second
)

// errNoSeed reports that no daemon told what it knows.
var errNoSeed = errors.New("no seed answered")

// bootstrap is what a daemon tells one that boots while the log is down.
type bootstrap struct {
	Table    []table.Chunk `cbor:"1,keyasint"`
	Settings [][]byte      `cbor:"2,keyasint"`
}

// WriteTable implements admin.Source.
func (s source) WriteTable(w io.Writer) error {
	chunks, err := snapshot(s.d.view.Load())
	if err != nil {
		return err
	}
	parts, err := s.d.teams.Export()
	if err != nil {
		return fmt.Errorf("export settings: %w", err)
	}
	if err := cbor.NewEncoder(w).Encode(bootstrap{Table: chunks, Settings: parts}); err != nil {
		return fmt.Errorf("write table: %w", err)
	}
	return nil
}

// snapshot returns the table of a view in chunks; none when it has read
// nothing.
func snapshot(view *core.View) ([]table.Chunk, error) {
	t := view.Table()
	if t == nil || t.Next() == 0 {
		return nil, nil
	}
	chunks, err := t.Snapshot(t.Next() - 1)
	if err != nil {
		return nil, fmt.Errorf("take snapshot of table: %w", err)
	}
	return chunks, nil
}

// routeTable returns a peer's table for routing when the log does not answer
// at boot, and puts the peer's settings in force.
func (d *Daemon) routeTable() []table.Chunk {
	if len(d.settings.Seeds) == 0 {
		return nil
	}
	timer := d.o.clock.NewTimer(seedWait)
	defer timer.Stop()
	select {
	case <-d.reached:
		return nil
	case <-d.ctx.Done():
		return nil
	case <-timer.Chan():
	}
	boot, err := d.askSeeds()
	if err != nil {
		d.log.Error(err, "log is down and no daemon told the owners")
		return nil
	}
	select {
	case d.seedSettings <- boot.Settings:
	case <-d.ctx.Done():
	}
	d.recorder.Emit(events.Event{Kind: events.KindLog, Note: "down at boot, routing by a peer's table"})
	return boot.Table
}

func (d *Daemon) askSeeds() (bootstrap, error) {
	client := admin.NewClient()
	var failures []error
	for _, seed := range d.settings.Seeds {
		boot, err := askSeed(d.ctx, client, "http://"+seed)
		if err == nil {
			return boot, nil
		}
		failures = append(failures, err)
	}
	return bootstrap{}, errors.Join(append(failures, errNoSeed)...)
}

func askSeed(ctx context.Context, client *admin.Client, base string) (bootstrap, error) {
	ctx, cancel := context.WithTimeout(ctx, seedTimeout)
	defer cancel()
	data, err := client.Table(ctx, base)
	if err != nil {
		return bootstrap{}, fmt.Errorf("ask %s for its table: %w", base, err)
	}
	var boot bootstrap
	if err := cbor.Unmarshal(data, &boot); err != nil {
		return bootstrap{}, fmt.Errorf("read table of %s: %w", base, err)
	}
	if len(boot.Table) == 0 {
		return bootstrap{}, fmt.Errorf("%s has no table: %w", base, errNoSeed)
	}
	return boot, nil
}

// takeSeed puts settings that a peer told in force.
func (d *Daemon) takeSeed(parts [][]byte) {
	if err := d.teams.Seed(parts); err != nil {
		d.log.Error(err, "settings of a peer refused")
		return
	}
	d.seeded = true
	d.enforce()
}
