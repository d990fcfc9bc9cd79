package cmds

import (
	"context"
	"errors"
	"fmt"
	"io"

	"github.com/jonboulle/clockwork"

	"github.com/monsoonmoor/monsoonmoor/admin"
	"github.com/monsoonmoor/monsoonmoor/events"
	"github.com/monsoonmoor/monsoonmoor/ident"
)

// dialOperator reaches operator listeners over HTTP.
func dialOperator(token string) Operator {
	return &adminOperator{client: admin.NewClient(admin.WithBearer(token)), clock: clockwork.NewRealClock()}
}

// adminOperator is an Operator over the client of package admin.
type adminOperator struct {
	client *admin.Client
	clock  clockwork.Clock
}

// refused marks the errors of orders that had no effect.
func refused(err error) error {
	if errors.Is(err, admin.ErrRefused) || errors.Is(err, admin.ErrNotFound) {
		return fmt.Errorf("%w: %w", ErrRefused, err)
	}
	return err
}

// Status implements Operator.
func (o *adminOperator) Status(ctx context.Context, base string) (Report, error) {
	status, err := o.client.Status(ctx, base)
	if err != nil {
		return nil, err
	}
	return newReport(status, func(w io.Writer) error { return admin.WriteStatus(w, status) }), nil
}

// Revisions implements Operator.
func (o *adminOperator) Revisions(ctx context.Context, base string) (Revisions, error) {
	status, err := o.client.Status(ctx, base)
	if err != nil {
		return Revisions{}, err
	}
	r := Revisions{Host: status.Self.Host, InForce: status.Settings.Revisions}
	for _, m := range status.Members {
		if m.Admin != "" && !m.Fenced {
			r.Members = append(r.Members, m.Admin)
		}
	}
	return r, nil
}

// Timeline implements Operator.
func (o *adminOperator) Timeline(ctx context.Context, bases []string, q Query) (PageReport, error) {
	opts := []events.FilterOption{events.WithService(q.Service), events.WithSlots(q.Slots...),
		events.WithKey(q.Key), events.WithHosts(q.Hosts...)}
	if q.Since > 0 {
		now := o.clock.Now()
		opts = append(opts, events.WithTimeRange(now.Add(-q.Since), now.Add(q.Since)))
	}
	if q.Why {
		opts = append(opts, events.WithCauses())
	}
	line, err := o.client.Timeline(ctx, bases, events.NewFilter(opts...))
	if err != nil {
		return nil, err
	}
	report := &lineReport{line: line}
	if q.Why {
		shard, holder, err := o.holder(ctx, bases, q)
		if err != nil {
			return nil, err
		}
		why := events.Why(line.Events, shard)
		why.Holder = holder
		report.why = &why
	}
	return report, nil
}

// holder returns the shard that a query is about and who owns it, by the first
// daemon that knows the service.
func (o *adminOperator) holder(ctx context.Context, bases []string, q Query) (ident.Shard, *events.Holder, error) {
	var failures []error
	for _, base := range bases {
		status, err := o.client.Status(ctx, base)
		if err != nil {
			failures = append(failures, err)
			continue
		}
		shard, ok := shardOf(&status, q)
		if !ok {
			continue
		}
		owner, _ := status.Owner(shard)
		return shard, &events.Holder{Owner: owner, By: status.Self.Host, Next: status.Log.Offset}, nil
	}
	return ident.Shard{}, nil, fmt.Errorf("service %s is not known: %w", q.Service, errors.Join(failures...))
}

// shardOf returns the shard that a query is about; false when the daemon does
// not know the service.
func shardOf(status *admin.Status, q Query) (ident.Shard, bool) {
	for _, s := range status.Services {
		if s.Name != q.Service || s.Slots == 0 {
			continue
		}
		if len(q.Slots) > 0 {
			return ident.NewShard(q.Service, q.Slots[0]), true
		}
		return ident.NewShard(q.Service, ident.SlotOf(q.Key, s.Slots)), true
	}
	return ident.Shard{}, false
}

// Quarantine implements Operator.
func (o *adminOperator) Quarantine(ctx context.Context, base string) (Report, error) {
	list, err := o.client.Quarantine(ctx, base)
	if err != nil {
		return nil, err
	}
	return newReport(list, func(w io.Writer) error { return admin.WriteQuarantine(w, list) }), nil
}

// Lift implements Operator.
func (o *adminOperator) Lift(ctx context.Context, base string, service ident.Service, fingerprint string) error {
	return refused(o.client.Lift(ctx, base, service, fingerprint))
}

// Drain implements Operator.
func (o *adminOperator) Drain(ctx context.Context, base string) error {
	return refused(o.client.Drain(ctx, base))
}

// Evict implements Operator.
func (o *adminOperator) Evict(ctx context.Context, base string, of ident.Incarnation, operator string) error {
	return refused(o.client.Evict(ctx, base, of, operator))
}

// valueReport is a Report of one value.
type valueReport struct {
	value any
	text  func(io.Writer) error
}

func newReport(value any, text func(io.Writer) error) *valueReport {
	return &valueReport{value: value, text: text}
}

// WriteText implements Report.
func (r *valueReport) WriteText(w io.Writer) error { return r.text(w) }

// WriteJSON implements Report.
func (r *valueReport) WriteJSON(w io.Writer) error { return writeJSON(w, r.value) }

// lineReport is a time line, with an explanation where one was asked for.
type lineReport struct {
	line admin.Timeline
	why  *events.Explanation
}

// WriteText implements Report.
func (r *lineReport) WriteText(w io.Writer) error {
	if r.why != nil {
		return events.WriteExplanation(w, *r.why)
	}
	return events.WriteText(w, r.line.Events)
}

// WriteJSON implements Report.
func (r *lineReport) WriteJSON(w io.Writer) error {
	out := struct {
		Events  []events.Event      `json:"events"`
		Why     *events.Explanation `json:"why,omitempty"`
		Missing []admin.Missing     `json:"missing"`
		Lost    uint64              `json:"lost"`
	}{Events: r.line.Events, Why: r.why, Missing: r.line.Missing, Lost: r.line.Lost}
	return writeJSON(w, out)
}

// WriteHTML implements PageReport.
func (r *lineReport) WriteHTML(w io.Writer) error {
	list := r.line.Events
	if r.why != nil {
		list = nil
		for _, step := range r.why.Steps {
			list = append(list, step.Event)
		}
	}
	return events.WritePage(w, "monsoonmoor time line", list)
}

// Missing implements PageReport.
func (r *lineReport) Missing() []string {
	urls := make([]string, len(r.line.Missing))
	for i, m := range r.line.Missing {
		urls[i] = m.URL
	}
	return urls
}
