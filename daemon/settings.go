package daemon

import (
	"crypto/tls"
	"fmt"
	"os"
	"strings"
	"time"

	"github.com/ThreeDotsLabs/watermill/message"

	"github.com/monsoonmoor/monsoonmoor/certs"
	"github.com/monsoonmoor/monsoonmoor/core"
	"github.com/monsoonmoor/monsoonmoor/events"
	"github.com/monsoonmoor/monsoonmoor/ident"
	"github.com/monsoonmoor/monsoonmoor/policy"
	"github.com/monsoonmoor/monsoonmoor/stream"
)

// settingsInterval is the time between two looks at whether a snapshot of the
// settings is due.
const settingsInterval = time.Second

// readToken reads the operators' token where the settings name its file.
func (d *Daemon) readToken() error {
	if d.settings.TokenFile == "" {
		return nil
	}
	data, err := os.ReadFile(d.settings.TokenFile)
	if err != nil {
		return fmt.Errorf("read operators' token: %w", err)
	}
	d.token = strings.TrimSpace(string(data))
	return nil
}

// readTLS reads the keys towards peers from the files that the settings name.
func (d *Daemon) readTLS() (*tls.Config, error) {
	t := d.settings.TLS
	loaded, err := certs.ServerClientConfig(t.CA, t.Cert, t.Key, certs.WithReloadClock(d.o.clock))
	if err != nil {
		return nil, fmt.Errorf("read keys towards peers: %w", err)
	}
	return loaded, nil
}

// state returns the team settings in force.
func (d *Daemon) state() *policy.State { return d.force.Load() }

// isSettled reports whether the settings in force are known.
func (d *Daemon) isSettled() bool { return d.settled.Load() }

// enforce puts the settings that were read in force. A daemon that boots does
// so only at the stream's end, since what it reads before that may be replaced
// already.
func (d *Daemon) enforce() {
	d.force.Store(d.teams.State())
	d.settled.Store(true)
	d.orderPolicy(d.service())
}

// followSettings applies the settings stream and writes snapshots of it when
// this daemon is the one that should.
func (d *Daemon) followSettings(messages <-chan *message.Message) {
	ticks := d.o.clock.NewTicker(settingsInterval)
	defer ticks.Stop()
	ended := false
	for {
		select {
		case msg, ok := <-messages:
			if !ok {
				return
			}
			ended = d.readSettings(msg)
			msg.Ack()
		case parts := <-d.seedSettings:
			d.takeSeed(parts)
		case <-ticks.Chan():
			if ended {
				d.keepSettings()
			}
		}
	}
}

// readSettings applies one message of the settings stream. It reports whether
// the stream's end is reached.
func (d *Daemon) readSettings(msg *message.Message) bool {
	if _, ok := stream.End(msg); ok {
		if !d.isSettled() || d.seeded {
			d.seeded = false
			d.enforce()
		}
		return true
	}
	if first, ok := stream.Gap(msg); ok {
		d.teams.Gap(first)
		return false
	}
	offset, ok := stream.Offset(msg)
	if !ok {
		return false
	}
	entry, verdict := d.teams.Record(offset, msg.Payload)
	if entry.Kind == policy.KindSnapshot {
		if d.isSettled() && !d.seeded {
			d.enforce()
		}
		return false
	}
	d.recorder.Emit(events.Event{Kind: events.KindSettings, Offset: offset, Note: verdict.String()})
	if verdict.Result() == policy.Accepted && d.isSettled() && !d.seeded {
		d.enforce()
	}
	return false
}

// service returns the service of the current incarnation.
func (d *Daemon) service() ident.Service {
	if l := d.life.Load(); l != nil {
		return l.self.Service
	}
	return ""
}

// orderPolicy tells the decision code what the settings say of a service. A
// service that is not divided by key has no owners.
func (d *Daemon) orderPolicy(name ident.Service) {
	accepted, ok := d.state().Service(name)
	if !ok || !accepted.Divided {
		return
	}
	d.track(accepted.Slots)
	d.balancer.follow(planner(accepted.Share))
	d.order(core.Policy{Service: name, Slots: accepted.Slots, Places: accepted.Places})
}

// keepSettings writes a snapshot of the accepted settings when this daemon is
// the one that should.
func (d *Daemon) keepSettings() {
	entries, err := d.teams.End(d.o.clock.Now(), d.rank())
	if err != nil {
		d.log.Error(err, "snapshot of settings failed")
		return
	}
	for _, entry := range entries {
		data, err := policy.Encode(entry)
		if err == nil {
			d.chunks++
			err = d.writer.Append(ident.RecordID{By: d.self(), N: d.chunks}, data)
		}
		if err != nil {
			d.log.Error(err, "snapshot of settings not queued")
			return
		}
	}
}

// rank returns this daemon's place among all members, by incarnation.
func (d *Daemon) rank() int {
	self := d.self()
	rank := 0
	for _, m := range d.view.Load().Table().Members() {
		if m.Inc.Compare(self) < 0 {
			rank++
		}
	}
	return rank
}
