package events

import (
	"fmt"
	"net/url"
	"slices"
	"strconv"
	"time"

	"github.com/monsoonmoor/monsoonmoor/ident"
)

// Names of the query parameters that encode a Filter.
const (
	fieldService = "service"
	fieldSlot    = "slot"
	fieldKey     = "key"
	fieldHost    = "host"
	fieldKind    = "kind"
	fieldSince   = "since"
	fieldUntil   = "until"
	fieldCauses  = "causes"
)

// FilterOption sets a condition of a Filter.
type FilterOption func(*Filter)

// WithService matches events that concern slots of the service.
func WithService(service ident.Service) FilterOption {
	return func(f *Filter) { f.service = service }
}

// WithSlots matches events that concern at least one of the slots.
func WithSlots(slots ...ident.Slot) FilterOption {
	return func(f *Filter) { f.slots = append(f.slots, slots...) }
}

// WithKey matches events that concern the slot of a key. Match ignores the key
// until Resolve replaces it by its slots, because the slot of a key depends on the
// number of slots.
func WithKey(key string) FilterOption {
	return func(f *Filter) { f.key = key }
}

// WithHosts matches events recorded by one of the hosts.
func WithHosts(hosts ...ident.Host) FilterOption {
	return func(f *Filter) { f.hosts = append(f.hosts, hosts...) }
}

// WithKinds matches events of one of the kinds.
func WithKinds(kinds ...Kind) FilterOption {
	return func(f *Filter) { f.kinds = append(f.kinds, kinds...) }
}

// WithTimeRange matches events at or after since and before until. A zero time means
// no bound.
func WithTimeRange(since, until time.Time) FilterOption {
	return func(f *Filter) { f.since, f.until = since, until }
}

// WithCauses makes the filter also match events about the joining, failure or
// departure of members. These concern no slot, but Why needs them to explain what
// led to a change of owner.
func WithCauses() FilterOption {
	return func(f *Filter) { f.causes = true }
}

// Filter selects events. An event must meet all conditions. A nil Filter matches
// every event.
type Filter struct {
	service ident.Service
	slots   []ident.Slot
	key     string
	hosts   []ident.Host
	kinds   []Kind
	since   time.Time
	until   time.Time
	causes  bool
}

// NewFilter returns a filter with the given conditions.
func NewFilter(opts ...FilterOption) *Filter {
	f := &Filter{}
	for _, opt := range opts {
		opt(f)
	}
	return f
}

// Service returns the service that events must concern, empty for any.
func (f *Filter) Service() ident.Service { return f.service }

// Key returns the key that is not resolved to slots yet, empty for none.
func (f *Filter) Key() string { return f.key }

// Resolve returns a copy of the filter in which slots replace the key.
func (f *Filter) Resolve(slots ...ident.Slot) *Filter {
	next := *f
	next.key = ""
	next.slots = append(slices.Clone(f.slots), slots...)
	return &next
}

// Match reports whether e meets all conditions of the filter.
func (f *Filter) Match(e Event) bool {
	if f == nil {
		return true
	}
	if !f.matchShard(e) && (!f.causes || !isMemberCause(e)) {
		return false
	}
	if len(f.hosts) > 0 && !slices.Contains(f.hosts, e.Host) {
		return false
	}
	if len(f.kinds) > 0 && !slices.Contains(f.kinds, e.Kind) {
		return false
	}
	at := e.Clock.Time()
	return (f.since.IsZero() || !at.Before(f.since)) && (f.until.IsZero() || at.Before(f.until))
}

// isMemberCause reports whether e can be a cause of a change of owner even when it
// concerns no slot.
func isMemberCause(e Event) bool {
	return e.Kind == KindJoin || slices.Contains(memberCauses, e.Kind)
}

// matchShard reports whether e meets the conditions on service and slots.
func (f *Filter) matchShard(e Event) bool {
	if f.service != "" && e.Service != f.service {
		return false
	}
	return len(f.slots) == 0 || e.Service != "" && slices.ContainsFunc(f.slots, e.HasSlot)
}

// Query encodes the filter as query parameters. ParseFilter decodes them.
func (f *Filter) Query() url.Values {
	q := url.Values{}
	if f == nil {
		return q
	}
	add := func(name, value string) {
		if value != "" {
			q.Add(name, value)
		}
	}
	add(fieldService, string(f.service))
	add(fieldKey, f.key)
	for _, s := range f.slots {
		add(fieldSlot, strconv.FormatUint(uint64(s), 10))
	}
	for _, h := range f.hosts {
		add(fieldHost, string(h))
	}
	for _, k := range f.kinds {
		add(fieldKind, string(k))
	}
	add(fieldSince, formatTime(f.since))
	add(fieldUntil, formatTime(f.until))
	if f.causes {
		add(fieldCauses, "true")
	}
	return q
}

// ParseFilter decodes a filter from the query parameters that Query encodes.
// Returns an error for an invalid value and for a key or slot without a service.
func ParseFilter(q url.Values) (*Filter, error) {
	f := &Filter{service: ident.Service(q.Get(fieldService)), key: q.Get(fieldKey)}
	for _, text := range q[fieldSlot] {
		n, err := strconv.ParseUint(text, 10, 32)
		if err != nil {
			return nil, fmt.Errorf("parse slot: %w", err)
		}
		f.slots = append(f.slots, ident.Slot(n))
	}
	for _, text := range q[fieldHost] {
		f.hosts = append(f.hosts, ident.Host(text))
	}
	for _, text := range q[fieldKind] {
		f.kinds = append(f.kinds, Kind(text))
	}
	var err error
	if f.since, err = parseTime(q.Get(fieldSince)); err != nil {
		return nil, fmt.Errorf("parse since: %w", err)
	}
	if f.until, err = parseTime(q.Get(fieldUntil)); err != nil {
		return nil, fmt.Errorf("parse until: %w", err)
	}
	if text := q.Get(fieldCauses); text != "" {
		if f.causes, err = strconv.ParseBool(text); err != nil {
			return nil, fmt.Errorf("parse causes: %w", err)
		}
	}
	if f.service == "" && (f.key != "" || len(f.slots) > 0) {
		return nil, fmt.Errorf("parse filter: key or slot given without a service")
	}
	return f, nil
}

// formatTime formats t as in RFC 3339 in UTC; the zero time gives an empty string.
func formatTime(t time.Time) string {
	if t.IsZero() {
		return ""
	}
	return t.UTC().Format(time.RFC3339Nano)
}

// parseTime parses the output of formatTime.
func parseTime(text string) (time.Time, error) {
	if text == "" {
		return time.Time{}, nil
	}
	t, err := time.Parse(time.RFC3339Nano, text)
	if err != nil {
		return time.Time{}, fmt.Errorf("invalid RFC 3339 time: %w", err)
	}
	return t, nil
}
