package grant

import (
	"context"
	"encoding/json"
	"fmt"
	"io"
	"net/http"
	"net/url"
	"sync"
	"time"

	"github.com/go-logr/logr"
	"github.com/jonboulle/clockwork"

	"github.com/monsoonmoor/monsoonmoor/core"
	"github.com/monsoonmoor/monsoonmoor/events"
	"github.com/monsoonmoor/monsoonmoor/ident"
)

const (
	defaultTime    = time.Second
	defaultSilence = time.Second
	checkTime      = 50 * time.Millisecond
	// maxDrift bounds how much faster one host's monotonic clock runs than
	// another's: grants are shortened and waits lengthened by this part.
	maxDrift = 0.01
	// maxAnnouncement bounds an announcement in bytes.
	maxAnnouncement = 16 << 10
	// maxWait bounds the time for which an answer is held back.
	maxWait = 400 * time.Millisecond
	// maxInstance bounds the length of an instance name in bytes.
	maxInstance = 256
	// maxSlots bounds what an upstream may announce.
	maxSlots = 1 << 16
)

// View is what the desk needs of the member's view. *core.View implements it.
type View interface {
	// Served returns the shards that may be granted, with their epochs.
	Served() []core.ServedShard
	// LeaseLeft returns how long the member's lease still runs at now.
	LeaseLeft(now time.Time) time.Duration
}

// Source returns the newest view.
type Source func() View

// Listener is told what the desk learns of the upstream. Its methods must not
// block and must not call the desk.
type Listener interface {
	// UpstreamUp reports an upstream that takes requests, and each change of
	// what it announces.
	UpstreamUp(a Announcement)
	// UpstreamDown reports that the upstream is lost and that every grant it
	// held has expired.
	UpstreamDown(instance string)
	// UpstreamChanged reports that another run of the upstream announces
	// itself while the grants of the earlier one may still hold.
	UpstreamChanged(before, now string)
	// UpstreamLeaving reports that the upstream wants to drain.
	UpstreamLeaving(instance string)
}

// Work tells what an upstream that checks no tokens may still do.
type Work interface {
	// Until returns the latest time at which the upstream may still act for
	// this member; the zero time when nothing is under way.
	Until() time.Time
}

// Desk answers the announcements of the upstream beside the daemon. It is an
// http.Handler for AnnouncePath.
type Desk struct {
	source   Source
	listener Listener
	work     Work
	clock    clockwork.Clock
	log      logr.Logger
	sink     events.Sink
	service  ident.Service
	time     time.Duration
	silence  time.Duration
	stop     context.CancelFunc
	done     chan struct{}

	mu sync.Mutex
	// now is the upstream's newest announcement; Instance is empty when there
	// is no upstream.
	now     Announcement
	heard   time.Time
	expires time.Time
	waiting string
	leaving bool
	held    grants
	// changed is closed, and replaced, when the grants may have changed or the
	// upstream has confirmed them.
	changed chan struct{}
}

// Option changes a Desk.
type Option func(*Desk)

// WithClock sets the clock.
func WithClock(clock clockwork.Clock) Option { return func(d *Desk) { d.clock = clock } }

// WithLogger sets the logger.
func WithLogger(log logr.Logger) Option { return func(d *Desk) { d.log = log } }

// WithEvents sets where the time line's events go.
func WithEvents(sink events.Sink) Option { return func(d *Desk) { d.sink = sink } }

// WithListener sets who is told of changes.
func WithListener(l Listener) Option { return func(d *Desk) { d.listener = l } }

// WithWork sets what tells of work that outlasts a grant.
func WithWork(w Work) Option { return func(d *Desk) { d.work = w } }

// WithService refuses upstreams of any other service.
func WithService(s ident.Service) Option { return func(d *Desk) { d.service = s } }

// WithTime sets for how long a grant holds at most.
func WithTime(t time.Duration) Option { return func(d *Desk) { d.time = t } }

// WithSilence sets how long an upstream may be silent before it is lost.
func WithSilence(t time.Duration) Option { return func(d *Desk) { d.silence = t } }

// New returns a desk that grants what source's views serve. Close ends it.
func New(source Source, opts ...Option) *Desk {
	ctx, cancel := context.WithCancel(context.Background())
	d := &Desk{
		source:   source,
		listener: ignore{},
		clock:    clockwork.NewRealClock(),
		log:      logr.Discard(),
		sink:     events.Discard{},
		time:     defaultTime,
		silence:  defaultSilence,
		stop:     cancel,
		done:     make(chan struct{}),
		held:     newGrants(),
		changed:  make(chan struct{}),
	}
	for _, opt := range opts {
		opt(d)
	}
	ticker := d.clock.NewTicker(checkTime)
	go func() {
		defer close(d.done)
		defer ticker.Stop()
		for {
			select {
			case <-ctx.Done():
				return
			case <-ticker.Chan():
				d.Check()
			}
		}
	}()
	return d
}

// Close ends the desk's goroutine.
func (d *Desk) Close() error {
	d.stop()
	<-d.done
	return nil
}

// ServeHTTP implements http.Handler.
func (d *Desk) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	if r.Method != http.MethodPost {
		http.Error(w, "announcements are posted", http.StatusMethodNotAllowed)
		return
	}
	data, err := io.ReadAll(http.MaxBytesReader(w, r.Body, maxAnnouncement))
	if err != nil {
		http.Error(w, "announcement too large or cut", http.StatusBadRequest)
		return
	}
	a, err := d.parse(data)
	if err != nil {
		http.Error(w, err.Error(), http.StatusBadRequest)
		return
	}
	answer, err := json.Marshal(d.Await(r.Context(), a))
	if err != nil {
		http.Error(w, "grants can't be encoded", http.StatusInternalServerError)
		return
	}
	w.Header().Set("Content-Type", "application/json")
	_, _ = w.Write(answer)
}

// parse reads and checks an announcement.
func (d *Desk) parse(data []byte) (Announcement, error) {
	var a Announcement
	if err := json.Unmarshal(data, &a); err != nil {
		return a, fmt.Errorf("announcement: %w", err)
	}
	base, err := url.Parse(a.URL)
	switch {
	case a.Instance == "" || len(a.Instance) > maxInstance:
		return a, fmt.Errorf("announcement: instance has %d bytes, want 1 to %d", len(a.Instance), maxInstance)
	case d.service != "" && a.Service != d.service:
		return a, fmt.Errorf("announcement: service %q, want %q", a.Service, d.service)
	case err != nil || base.Scheme != "http" || base.Host == "":
		return a, fmt.Errorf("announcement: url %q is not an absolute http URL", a.URL)
	case a.Slots < 1 || a.Slots > maxSlots:
		return a, fmt.Errorf("announcement: %d slots, want 1 to %d", a.Slots, maxSlots)
	case a.Conns < 0 || a.Conns > maxSlots:
		return a, fmt.Errorf("announcement: %d connections, want at most %d", a.Conns, maxSlots)
	}
	return a, nil
}

// Announce takes an announcement and returns the grants that answer it.
func (d *Desk) Announce(a Announcement) Grants {
	d.mu.Lock()
	defer d.mu.Unlock()
	now := d.clock.Now()
	d.expire(now)
	if d.now.Instance != "" && a.Instance != d.now.Instance {
		return d.hold(a)
	}
	d.note(a, now)
	if d.held.settle(a.Have, now) {
		d.signal()
	}
	return d.grant(a, now, now)
}

// Await takes an announcement and returns the grants that answer it. While
// they are those that the upstream has, it waits for a change, for as long as
// the announcement allows or until ctx ends.
func (d *Desk) Await(ctx context.Context, a Announcement) Grants {
	arrived := d.clock.Now()
	changed := d.watch()
	g := d.Announce(a)
	wait := min(time.Duration(a.Wait)*time.Millisecond, maxWait)
	if !g.Same || g.Millis == 0 || wait <= 0 {
		return g
	}
	timer := d.clock.NewTimer(wait)
	defer timer.Stop()
	for g.Same {
		select {
		case <-ctx.Done():
			return g
		case <-timer.Chan():
			return d.again(a, arrived)
		case <-changed:
			changed = d.watch()
			g = d.again(a, arrived)
		}
	}
	return g
}

// Changed tells the desk that its source has a new view.
func (d *Desk) Changed() {
	d.mu.Lock()
	defer d.mu.Unlock()
	d.signal()
}

// signal wakes all who wait for a change.
func (d *Desk) signal() {
	close(d.changed)
	d.changed = make(chan struct{})
}

func (d *Desk) watch() <-chan struct{} {
	d.mu.Lock()
	defer d.mu.Unlock()
	return d.changed
}

// again returns the grants for an announcement that arrived at an earlier
// time. Once another run of the upstream is in force it grants nothing.
func (d *Desk) again(a Announcement, arrived time.Time) Grants {
	d.mu.Lock()
	defer d.mu.Unlock()
	if d.now.Instance != a.Instance {
		return Grants{Revision: d.held.revision}
	}
	return d.grant(a, arrived, d.clock.Now())
}

// hold answers another run of the upstream while the earlier one may still act
// under its grants: it is granted nothing.
func (d *Desk) hold(a Announcement) Grants {
	if d.waiting != a.Instance {
		d.waiting = a.Instance
		d.log.Info("upstream instance changed", "before", d.now.Instance, "now", a.Instance)
		d.emit(events.KindUpstream, "instance "+a.Instance+" waits for the grants of "+d.now.Instance)
		d.listener.UpstreamChanged(d.now.Instance, a.Instance)
	}
	return Grants{Revision: d.held.revision}
}

// note keeps what the upstream in force announces.
func (d *Desk) note(a Announcement, now time.Time) {
	before := d.now
	d.now, d.heard = a, now
	d.now.Have, d.now.Wait = 0, 0
	if before.Instance == "" {
		d.emit(events.KindUpstream, "instance "+a.Instance+" up")
	}
	if before != d.now {
		d.listener.UpstreamUp(d.now)
	}
	if a.Leaving && !d.leaving {
		d.leaving = true
		d.log.Info("upstream leaving", "instance", a.Instance)
		d.emit(events.KindDrain, "instance "+a.Instance+" leaves")
		d.listener.UpstreamLeaving(a.Instance)
	}
}

// grant returns the grants in force at now and remembers until when the
// upstream may act on them. The upstream counts from the moment it sent its
// announcement, which lies before it arrived, so that the time for which the
// answer was held back comes on top.
func (d *Desk) grant(a Announcement, arrived, now time.Time) Grants {
	view := d.source()
	left := min(d.time, view.LeaseLeft(now))
	if left > 0 {
		left += now.Sub(arrived)
	}
	validity := time.Duration(float64(left) * (1 - maxDrift)).Truncate(time.Millisecond)
	holdings := view.Served()
	g := Grants{Drained: a.Leaving && len(holdings) == 0 && !d.busy(now)}
	if validity <= 0 {
		g.Revision = d.held.revision
		return g
	}
	d.held.update(holdings, d.now.Service)
	if len(d.held.spans) > 0 {
		expires := arrived.Add(time.Duration(float64(validity) * (1 + maxDrift)))
		if expires.After(d.expires) {
			d.expires = expires
		}
		d.held.note(expires)
	}
	g.Revision, g.Millis = d.held.revision, validity.Milliseconds()
	if a.Have == d.held.revision {
		g.Same = true
		return g
	}
	g.Spans = d.held.spans
	return g
}

// busy reports whether the upstream may still act without a grant.
func (d *Desk) busy(now time.Time) bool {
	return d.work != nil && d.work.Until().After(now)
}

// Check reports the upstream as lost once it has been silent for too long and
// nothing that it was granted can still be in force.
func (d *Desk) Check() {
	d.mu.Lock()
	defer d.mu.Unlock()
	d.expire(d.clock.Now())
}

func (d *Desk) expire(now time.Time) {
	if d.now.Instance == "" || !d.lost(now) || now.Before(d.expires) || d.busy(now) {
		return
	}
	d.log.Info("upstream down", "instance", d.now.Instance, "silent", now.Sub(d.heard).String())
	instance := d.now.Instance
	d.emit(events.KindUpstream, "instance "+instance+" down, its grants have expired")
	d.now, d.leaving, d.waiting = Announcement{}, false, ""
	d.listener.UpstreamDown(instance)
}

// emit records what the upstream does on the time line.
func (d *Desk) emit(kind events.Kind, note string) {
	d.sink.Emit(events.Event{Kind: kind, Service: d.now.Service, Note: note})
}

// lost reports whether the upstream in force counts as lost. While another
// run announces itself the grants of the first alone decide.
func (d *Desk) lost(now time.Time) bool {
	silent := now.Sub(d.heard)
	return silent >= d.silence || (d.waiting != "" && silent >= d.silence/2)
}

// Expires returns the latest time until which the upstream may act on a grant.
func (d *Desk) Expires() time.Time {
	d.mu.Lock()
	defer d.mu.Unlock()
	return d.expires
}

// Settled reports whether the upstream can act on none of the shards any more:
// it has confirmed grants without them, or those with them have expired. A
// shard that moves to another member must be settled first.
func (d *Desk) Settled(shards []ident.Shard) bool {
	d.mu.Lock()
	defer d.mu.Unlock()
	d.held.settle(0, d.clock.Now())
	for _, shard := range shards {
		if shard.Service == d.now.Service && d.held.covers(shard.Slot) {
			return false
		}
	}
	return true
}

// AwaitSettled waits until the upstream can act on none of the shards any
// more, see Settled. Its error is that of ctx.
func (d *Desk) AwaitSettled(ctx context.Context, shards []ident.Shard) error {
	ticker := d.clock.NewTicker(checkTime)
	defer ticker.Stop()
	for {
		changed := d.watch()
		if d.Settled(shards) {
			return nil
		}
		select {
		case <-ctx.Done():
			return fmt.Errorf("wait for the upstream: %w", ctx.Err())
		case <-changed:
		case <-ticker.Chan():
		}
	}
}

// Upstream returns what the upstream in force announced last; false when
// there is none.
func (d *Desk) Upstream() (Announcement, bool) {
	d.mu.Lock()
	defer d.mu.Unlock()
	return d.now, d.now.Instance != ""
}

// ignore is a Listener that does nothing.
type ignore struct{}

func (ignore) UpstreamUp(Announcement)        {}
func (ignore) UpstreamDown(string)            {}
func (ignore) UpstreamChanged(string, string) {}
func (ignore) UpstreamLeaving(string)         {}
