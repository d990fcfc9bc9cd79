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
	defaultValidity       = time.Second
	defaultSilenceTimeout = time.Second
	checkInterval         = 50 * time.Millisecond
	// maxDrift is the upper bound of how much faster the monotonic clock of one host runs than that of another, as
	// a share of the elapsed time. The validity sent to the upstream is shortened by this share and the time until
	// the daemon considers the grant expired is lengthened by it.
	maxDrift = 0.01
	// maxAnnouncement is the maximum size of an announcement in bytes.
	maxAnnouncement = 16 << 10
	// maxWait is the maximum time for which an answer is delayed.
	maxWait = 400 * time.Millisecond
	// maxInstance is the maximum length of an instance name in bytes.
	maxInstance = 256
	// maxSlots is the maximum number of slots, and of connections, that an upstream may announce.
	maxSlots = 1 << 16
)

// View is the part of the member's view that Issuer uses. *core.View implements it.
type View interface {
	// Served returns the shards that may be granted, with their epochs.
	Served() []core.ServedShard
	// LeaseLeft returns the remaining time of the member's lease at now.
	LeaseLeft(now time.Time) time.Duration
}

// Source returns the current view.
type Source func() View

// Listener receives notifications about the upstream's state. They are sent with the issuer's lock held, so the
// methods must not block and must not call the issuer.
type Listener interface {
	// UpstreamUp reports that an upstream accepts requests, and each change of its announcement.
	UpstreamUp(a Announcement)
	// UpstreamDown reports that the upstream is lost and that all of its grants have expired.
	UpstreamDown(instance string)
	// UpstreamChanged reports that a new instance of the upstream announces itself while the grants of the
	// previous instance may still be valid.
	UpstreamChanged(before, now string)
	// UpstreamLeaving reports that the upstream asks to be drained.
	UpstreamLeaving(instance string)
}

// PendingWork reports outstanding requests at an upstream that does not check fencing tokens. Such an upstream may act
// for the member even after its grants have expired.
type PendingWork interface {
	// Until returns the latest time at which the upstream may still act for this member, or the zero time when no
	// request is outstanding.
	Until() time.Time
}

// Issuer issues grants to the upstream on the same host and tracks whether it is alive. It is the http.Handler for
// AnnouncePath and answers each announcement with the shards that the upstream may serve.
type Issuer struct {
	source         Source
	listener       Listener
	work           PendingWork
	clock          clockwork.Clock
	log            logr.Logger
	sink           events.Sink
	service        ident.Service
	maxValidity    time.Duration
	silenceTimeout time.Duration
	stop           context.CancelFunc
	done           chan struct{}

	mu sync.Mutex
	// current is the latest announcement of the active instance. Its Instance is empty when there is no upstream.
	current Announcement
	// lastSeen is when the active instance last announced itself.
	lastSeen time.Time
	// expires is the latest time until which the upstream may act on a grant.
	expires time.Time
	// pendingInstance is the new instance that waits for the grants of the active one to expire; empty for none.
	pendingInstance string
	leaving         bool
	granted         grants
	// changed is closed and replaced when the grants may have changed or the upstream has confirmed them.
	changed chan struct{}
}

// Option configures an Issuer.
type Option func(*Issuer)

// WithClock sets the clock.
func WithClock(clock clockwork.Clock) Option { return func(d *Issuer) { d.clock = clock } }

// WithLogger sets the logger.
func WithLogger(log logr.Logger) Option { return func(d *Issuer) { d.log = log } }

// WithEvents sets the sink for timeline events.
func WithEvents(sink events.Sink) Option { return func(d *Issuer) { d.sink = sink } }

// WithListener sets the receiver of notifications about the upstream.
func WithListener(l Listener) Option { return func(d *Issuer) { d.listener = l } }

// WithPendingWork sets the source of information about requests that may outlast a grant.
func WithPendingWork(w PendingWork) Option { return func(d *Issuer) { d.work = w } }

// WithService makes the issuer reject announcements of upstreams of any other service.
func WithService(s ident.Service) Option { return func(d *Issuer) { d.service = s } }

// WithMaxValidity sets the maximum validity of a grant.
func WithMaxValidity(t time.Duration) Option { return func(d *Issuer) { d.maxValidity = t } }

// WithSilenceTimeout sets the time without announcements after which an upstream counts as lost.
func WithSilenceTimeout(t time.Duration) Option { return func(d *Issuer) { d.silenceTimeout = t } }

// New returns an issuer that grants the shards that source's current view serves. It starts a goroutine that checks for
// a lost upstream; Close stops it.
func New(source Source, opts ...Option) *Issuer {
	ctx, cancel := context.WithCancel(context.Background())
	d := &Issuer{
		source:         source,
		listener:       nopListener{},
		clock:          clockwork.NewRealClock(),
		log:            logr.Discard(),
		sink:           events.Discard{},
		maxValidity:    defaultValidity,
		silenceTimeout: defaultSilenceTimeout,
		stop:           cancel,
		done:           make(chan struct{}),
		granted:        newGrants(),
		changed:        make(chan struct{}),
	}
	for _, opt := range opts {
		opt(d)
	}
	ticker := d.clock.NewTicker(checkInterval)
	go func() {
		defer close(d.done)
		defer ticker.Stop()
		for {
			select {
			case <-ctx.Done():
				return
			case <-ticker.Chan():
				d.CheckUpstream()
			}
		}
	}()
	return d
}

// Close stops the issuer's goroutine and waits for it to return.
func (d *Issuer) Close() error {
	d.stop()
	<-d.done
	return nil
}

// ServeHTTP implements http.Handler: it reads an announcement and answers it with grants, both as JSON.
func (d *Issuer) ServeHTTP(w http.ResponseWriter, r *http.Request) {
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

// parse decodes and validates an announcement.
func (d *Issuer) parse(data []byte) (Announcement, error) {
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

// Announce records an announcement and returns the current grants without delay. It grants nothing to a new instance
// while the grants of the previous one may still be valid.
func (d *Issuer) Announce(a Announcement) Grants {
	d.mu.Lock()
	defer d.mu.Unlock()
	now := d.clock.Now()
	d.expireUpstream(now)
	if d.current.Instance != "" && a.Instance != d.current.Instance {
		return d.refuseNewInstance(a)
	}
	d.record(a, now)
	if d.granted.prune(a.HeldRevision, now) {
		d.notifyWaiters()
	}
	return d.grant(a, now, now)
}

// Await records an announcement like Announce. If the upstream already holds the current grants, Await delays the
// answer until they change, the wait that the announcement allows is over, or ctx is done.
func (d *Issuer) Await(ctx context.Context, a Announcement) Grants {
	arrived := d.clock.Now()
	changed := d.changeSignal()
	g := d.Announce(a)
	wait := min(time.Duration(a.MaxDelayMillis)*time.Millisecond, maxWait)
	if !g.Unchanged || g.ValidMillis == 0 || wait <= 0 {
		return g
	}
	timer := d.clock.NewTimer(wait)
	defer timer.Stop()
	for g.Unchanged {
		select {
		case <-ctx.Done():
			return g
		case <-timer.Chan():
			return d.regrant(a, arrived)
		case <-changed:
			changed = d.changeSignal()
			g = d.regrant(a, arrived)
		}
	}
	return g
}

// NotifyChange notifies the issuer that its source has a new view.
func (d *Issuer) NotifyChange() {
	d.mu.Lock()
	defer d.mu.Unlock()
	d.notifyWaiters()
}

// notifyWaiters wakes all goroutines that wait for a change. The lock must be held.
func (d *Issuer) notifyWaiters() {
	close(d.changed)
	d.changed = make(chan struct{})
}

// changeSignal returns the channel that is closed on the next change.
func (d *Issuer) changeSignal() <-chan struct{} {
	d.mu.Lock()
	defer d.mu.Unlock()
	return d.changed
}

// regrant returns the current grants for an announcement that arrived earlier. It grants nothing when the instance
// that sent it is no longer the active one.
func (d *Issuer) regrant(a Announcement, arrived time.Time) Grants {
	d.mu.Lock()
	defer d.mu.Unlock()
	if d.current.Instance != a.Instance {
		return Grants{Revision: d.granted.revision}
	}
	return d.grant(a, arrived, d.clock.Now())
}

// refuseNewInstance answers a new instance while the previous one may still act on its grants. The new instance is
// granted nothing until these grants have expired.
func (d *Issuer) refuseNewInstance(a Announcement) Grants {
	if d.pendingInstance != a.Instance {
		d.pendingInstance = a.Instance
		d.log.Info("upstream instance changed", "before", d.current.Instance, "now", a.Instance)
		d.emit(events.KindUpstream, "instance "+a.Instance+" waits for the grants of "+d.current.Instance)
		d.listener.UpstreamChanged(d.current.Instance, a.Instance)
	}
	return Grants{Revision: d.granted.revision}
}

// record stores an announcement of the active instance and notifies the listener of changes.
func (d *Issuer) record(a Announcement, now time.Time) {
	before := d.current
	d.current, d.lastSeen = a, now
	d.current.HeldRevision, d.current.MaxDelayMillis = 0, 0
	if before.Instance == "" {
		d.emit(events.KindUpstream, "instance "+a.Instance+" up")
	}
	if before != d.current {
		d.listener.UpstreamUp(d.current)
	}
	if a.Leaving && !d.leaving {
		d.leaving = true
		d.log.Info("upstream leaving", "instance", a.Instance)
		d.emit(events.KindDrain, "instance "+a.Instance+" leaves")
		d.listener.UpstreamLeaving(a.Instance)
	}
}

// grant returns the grants that are valid at now and records when they expire. The upstream counts the validity from
// when it sent its announcement, which is before the announcement arrived, so the time for which the answer was
// delayed is added to the validity.
func (d *Issuer) grant(a Announcement, arrived, now time.Time) Grants {
	view := d.source()
	left := min(d.maxValidity, view.LeaseLeft(now))
	if left > 0 {
		left += now.Sub(arrived)
	}
	validity := time.Duration(float64(left) * (1 - maxDrift)).Truncate(time.Millisecond)
	holdings := view.Served()
	g := Grants{Drained: a.Leaving && len(holdings) == 0 && !d.hasWork(now)}
	if validity <= 0 {
		g.Revision = d.granted.revision
		return g
	}
	d.granted.update(holdings, d.current.Service)
	if len(d.granted.spans) > 0 {
		expires := arrived.Add(time.Duration(float64(validity) * (1 + maxDrift)))
		if expires.After(d.expires) {
			d.expires = expires
		}
		d.granted.recordSent(expires)
	}
	g.Revision, g.ValidMillis = d.granted.revision, validity.Milliseconds()
	if a.HeldRevision == d.granted.revision {
		g.Unchanged = true
		return g
	}
	g.Spans = d.granted.spans
	return g
}

// hasWork reports whether requests are outstanding on which the upstream may still act without a grant.
func (d *Issuer) hasWork(now time.Time) bool {
	return d.work != nil && d.work.Until().After(now)
}

// CheckUpstream reports the upstream as lost when it has not announced itself for the silence timeout and all of
// its grants have expired.
func (d *Issuer) CheckUpstream() {
	d.mu.Lock()
	defer d.mu.Unlock()
	d.expireUpstream(d.clock.Now())
}

// expireUpstream removes a lost upstream once its grants have expired and no requests are outstanding, and notifies
// the listener.
func (d *Issuer) expireUpstream(now time.Time) {
	if d.current.Instance == "" || !d.isLost(now) || now.Before(d.expires) || d.hasWork(now) {
		return
	}
	d.log.Info("upstream down", "instance", d.current.Instance, "silent", now.Sub(d.lastSeen).String())
	instance := d.current.Instance
	d.emit(events.KindUpstream, "instance "+instance+" down, its grants have expired")
	d.current, d.leaving, d.pendingInstance = Announcement{}, false, ""
	d.listener.UpstreamDown(instance)
}

// emit writes an event about the upstream to the timeline.
func (d *Issuer) emit(kind events.Kind, note string) {
	d.sink.Emit(events.Event{Kind: kind, Service: d.current.Service, Note: note})
}

// isLost reports whether the active instance counts as lost: it has been silent for the silence timeout, or for half
// of it while a new instance waits to replace it, so that in effect the expiry of its grants alone decides when it is
// replaced.
func (d *Issuer) isLost(now time.Time) bool {
	silent := now.Sub(d.lastSeen)
	return silent >= d.silenceTimeout || (d.pendingInstance != "" && silent >= d.silenceTimeout/2)
}

// Expires returns the latest time until which the upstream may act on a grant.
func (d *Issuer) Expires() time.Time {
	d.mu.Lock()
	defer d.mu.Unlock()
	return d.expires
}

// Released reports whether the upstream can no longer act on any of the shards: it has confirmed grants without them,
// or all grants that include them have expired. A shard must be released before it moves to another member.
func (d *Issuer) Released(shards []ident.Shard) bool {
	d.mu.Lock()
	defer d.mu.Unlock()
	d.granted.prune(0, d.clock.Now())
	for _, shard := range shards {
		if shard.Service == d.current.Service && d.granted.covers(shard.Slot) {
			return false
		}
	}
	return true
}

// AwaitReleased waits until Released reports true for the shards. It returns an error that wraps that of ctx
// when ctx is done first.
func (d *Issuer) AwaitReleased(ctx context.Context, shards []ident.Shard) error {
	ticker := d.clock.NewTicker(checkInterval)
	defer ticker.Stop()
	for {
		changed := d.changeSignal()
		if d.Released(shards) {
			return nil
		}
		select {
		case <-ctx.Done():
			return fmt.Errorf("wait for the upstream to release the shards: %w", ctx.Err())
		case <-changed:
		case <-ticker.Chan():
		}
	}
}

// Upstream returns the latest announcement of the active instance, or false when there is no upstream.
func (d *Issuer) Upstream() (Announcement, bool) {
	d.mu.Lock()
	defer d.mu.Unlock()
	return d.current, d.current.Instance != ""
}

// nopListener is the default Listener. It discards all notifications.
type nopListener struct{}

func (nopListener) UpstreamUp(Announcement)        {}
func (nopListener) UpstreamDown(string)            {}
func (nopListener) UpstreamChanged(string, string) {}
func (nopListener) UpstreamLeaving(string)         {}
