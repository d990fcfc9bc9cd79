package daemon

import (
	"context"
	"encoding/json"
	"errors"
	"fmt"
	"io"
	"strconv"
	"time"

	"github.com/monsoonmoor/monsoonmoor/admin"
	"github.com/monsoonmoor/monsoonmoor/core"
	"github.com/monsoonmoor/monsoonmoor/events"
	"github.com/monsoonmoor/monsoonmoor/ident"
	"github.com/monsoonmoor/monsoonmoor/poison"
	"github.com/monsoonmoor/monsoonmoor/policy"
	"github.com/monsoonmoor/monsoonmoor/table"
)

var (
	errNoView    = errors.New("the ownership stream has not been read yet")
	errNoService = errors.New("no settings have been accepted yet")
)

// source implements admin.Source and admin.Control for a daemon.
type source struct{ d *Daemon }

// Events implements admin.Source.
func (s source) Events(n uint64, f *events.Filter) events.Batch {
	return s.d.recorder.Since(n, f)
}

// SlotsOf implements admin.Source.
func (s source) SlotsOf(service ident.Service, key string) ([]ident.Slot, bool) {
	view := s.d.view.Load().Table()
	hashed, _ := view.Slots(service)
	if hashed == 0 {
		return nil, false
	}
	hash := ident.HashKey(key)
	slots := []ident.Slot{ident.SlotOfHash(hash, hashed)}
	if pin, ok := view.PinOf(service, hash); ok {
		slots = append([]ident.Slot{pin}, slots...)
	}
	return slots, true
}

// Quarantine implements admin.Source.
func (s source) Quarantine() []admin.Quarantine {
	var list []admin.Quarantine
	for _, item := range s.d.quarantine.List() {
		list = append(list, admin.Quarantine{
			Service:     item.Service,
			Fingerprint: strconv.FormatUint(item.Fingerprint, 16),
			Crashes:     len(item.Crashes),
			Refused:     poison.IsBlocked(item),
			Left:        admin.Duration(item.Left),
		})
	}
	return list
}

// Settings implements admin.Source.
func (s source) Settings() (json.RawMessage, error) {
	state := s.d.state()
	services := make(map[ident.Service]policy.Service)
	for _, name := range state.Services() {
		services[name], _ = state.Service(name)
	}
	data, err := json.Marshal(services)
	if err != nil {
		return nil, fmt.Errorf("encode settings: %w", err)
	}
	return data, nil
}

// WriteMetrics implements admin.Source.
func (s source) WriteMetrics(w io.Writer) error {
	return s.d.registry.WriteText(w)
}

// Ready implements admin.Source.
func (s source) Ready() error {
	if s.d.view.Load().Table().Next() == 0 {
		return errNoView
	}
	if len(s.d.state().Services()) == 0 {
		return errNoService
	}
	return nil
}

// Drain implements admin.Control.
func (s source) Drain(context.Context) error {
	s.d.startDrain()
	return nil
}

// Evict implements admin.Control.
func (s source) Evict(_ context.Context, of ident.Incarnation, operator string) error {
	if _, ok := s.d.view.Load().Member(of); !ok {
		return fmt.Errorf("member %s: %w", of, admin.ErrNotFound)
	}
	in := core.EvictOrder{Of: of, Operator: operator}
	s.d.evictions.keep(in)
	s.d.order(in)
	return nil
}

// Lift implements admin.Control.
func (s source) Lift(_ context.Context, service ident.Service, fingerprint string) error {
	n, err := strconv.ParseUint(fingerprint, 16, 64)
	if err != nil {
		return fmt.Errorf("parse fingerprint: %w", err)
	}
	err = s.d.quarantine.Lift(service, n)
	if errors.Is(err, poison.ErrNotFound) {
		return fmt.Errorf("lift quarantine: %w: %w", admin.ErrNotFound, err)
	}
	if err != nil {
		return fmt.Errorf("lift quarantine: %w", err)
	}
	s.d.recorder.Emit(events.Event{Kind: events.KindQuarantine, Service: service, Note: "lifted " + fingerprint})
	if report := s.d.quarantine.Report(); report != nil {
		s.d.tellSuspects(report)
	}
	return nil
}

// Status implements admin.Source.
func (s source) Status() admin.Status {
	d := s.d
	now := d.o.clock.Now()
	view := d.view.Load()
	tab := view.Table()
	load := d.load()
	status := admin.Status{
		Self:      d.self(),
		Place:     d.settings.Place,
		Region:    d.settings.Region,
		Now:       now,
		Lease:     admin.Duration(max(0, view.LeaseLeft(now))),
		Witnesses: tab.Witnesses(view.Self()),
		Draining:  d.draining.Load(),
		Load:      admin.Load{Busy: load.Busy, Queued: load.Queued, Limit: load.Limit, Rate: load.Rate, Owned: load.Owned},
		Log:       admin.Log{Up: d.logs.isUp(), Offset: tab.Next(), Age: admin.Duration(d.logs.age(now))},
		Settings:  s.revisions(),
		Members:   s.members(tab),
	}
	if l := d.life.Load(); l != nil {
		status.Log.Pending = l.writer.Pending()
	}
	if a, ok := d.desk.Upstream(); ok {
		status.Upstream = admin.Upstream{Up: true, Cold: a.Cold, Checks: a.ChecksTokens, Slots: uint32(a.Slots), URL: a.URL, Name: a.Service}
	}
	for _, name := range tab.Services() {
		status.Services = append(status.Services, owners(tab, name))
	}
	for _, q := range s.Quarantine() {
		if q.Refused {
			status.Quarantined++
		}
	}
	return status
}

func (s source) revisions() admin.Settings {
	state := s.d.state()
	revisions := make(map[string]uint64)
	for _, team := range state.Teams() {
		revisions[string(team)] = uint64(state.Revision(team))
	}
	return admin.Settings{Revisions: revisions}
}

func (s source) members(tab *table.View) []admin.Member {
	var list []admin.Member
	for _, m := range tab.Members() {
		list = append(list, admin.Member{
			Inc: m.Inc, Place: m.Place, Region: m.Region, Service: m.Service,
			Peer: m.Peer, Admin: m.Admin,
			Age:    admin.Duration(-time.Millisecond),
			Fenced: tab.Removed(m.Inc),
		})
	}
	return list
}

// owners lists who owns the slots of a service.
func owners(tab *table.View, name ident.Service) admin.Service {
	hashed, pinned := tab.Slots(name)
	service := admin.Service{Name: name, Slots: hashed, Pins: int(pinned)}
	index := make(map[ident.Incarnation]int)
	tab.Range(name, func(slot ident.Slot, state table.State) bool {
		if state.Owner.IsZero() {
			service.Unowned++
			return true
		}
		i, ok := index[state.Owner]
		if !ok {
			i = len(service.Owners)
			index[state.Owner] = i
			service.Owners = append(service.Owners, admin.Owner{Inc: state.Owner})
		}
		owner := &service.Owners[i]
		owner.Count++
		if n := len(owner.Ranges); n > 0 && owner.Ranges[n-1].Last+1 == slot {
			owner.Ranges[n-1].Last = slot
		} else {
			owner.Ranges = append(owner.Ranges, admin.Range{First: slot, Last: slot})
		}
		return true
	})
	return service
}
