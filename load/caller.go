package load

import (
	"context"
	"fmt"
	"math/rand/v2"
	"net/http"
	"net/url"
	"strconv"
	"strings"
	"time"

	"github.com/jonboulle/clockwork"

	"github.com/monsoonmoor/monsoonmoor/calls"
	"github.com/monsoonmoor/monsoonmoor/verify"
)

// Reasons that the generator finds itself.
const (
	reasonConnect = "connect"
	reasonLost    = "lost"
	reasonCut     = "cut"
	reasonLate    = "generator-late"
	reasonStatus  = "status"
)

// The caller's time between attempts.
const (
	retryMin = 20 * time.Millisecond
	retryMax = time.Second
)

// terminal lists the reasons after which a resend is of no use.
var terminal = map[calls.Reason]bool{
	calls.ReasonBadRequest: true,
	calls.ReasonNoService:  true,
	calls.ReasonQuarantine: true,
	calls.ReasonKeyExpired: true,
	calls.ReasonKeyReused:  true,
	calls.ReasonKeyLost:    true,
	calls.ReasonKeyNeeded:  true,
	calls.ReasonTooLarge:   true,
}

// caller makes the calls of the schedule as a careful client would: it repeats
// what did not run, and resends what may have run only under the same
// idempotency key or where the method allows it.
type caller struct {
	cfg      Config
	clock    clockwork.Clock
	start    time.Time
	run      string
	client   *http.Client
	recorder *recorder
}

// call is one arrival in the caller's hands.
type call struct {
	arrival
	id       string
	key      string
	intended time.Time
	deadline time.Time
	rng      *rand.Rand
	attempts int
}

func (c *caller) newCall(a arrival) *call {
	intended := c.start.Add(a.at)
	return &call{
		arrival:  a,
		id:       fmt.Sprintf("%s-%d", c.run, a.number),
		key:      KeyName(a.key),
		intended: intended,
		deadline: intended.Add(c.cfg.Timeout),
		rng:      rand.New(rand.NewPCG(a.draw, uint64(a.number))),
	}
}

// KeyName returns the name of the i-th key.
func KeyName(i int) string {
	return "key-" + strconv.Itoa(i)
}

// do makes one call to its end and records it.
func (c *caller) do(ctx context.Context, a arrival) {
	k := c.newCall(a)
	started := c.clock.Now()
	c.recorder.offered(started.Sub(k.intended))
	ctx, cancel := clockwork.WithDeadline(ctx, c.clock, k.deadline)
	defer cancel()
	last := c.repeat(ctx, k)
	ended := c.clock.Now()
	c.recorder.call(ending{
		kind:    k.kind,
		at:      k.at,
		took:    ended.Sub(k.intended),
		answer:  ended.Sub(started),
		outcome: last.Outcome,
		owner:   last.Owner,
	})
}

// repeat makes attempts until one is answered or none is of use any more.
func (c *caller) repeat(ctx context.Context, k *call) verify.Attempt {
	unknown := false
	for {
		a := c.attempt(ctx, k)
		c.recorder.attempt(a)
		if a.Outcome == calls.Answered.String() {
			return a
		}
		unknown = unknown || a.Outcome == calls.Unknown.String()
		if !c.repeats(k, a) || !c.pause(ctx, k) {
			// What may have run once is not undone by a refusal of its resend.
			if unknown {
				a.Outcome = calls.Unknown.String()
			}
			return a
		}
	}
}

func (c *caller) repeats(k *call, a verify.Attempt) bool {
	if c.cfg.NoRetry || terminal[calls.Reason(a.Reason)] {
		return false
	}
	if a.Outcome == calls.Unknown.String() {
		return k.isIdempotent() || !c.cfg.Unkeyed
	}
	return true
}

// pause waits before the next attempt. It reports false when the caller's
// time is up.
func (c *caller) pause(ctx context.Context, k *call) bool {
	d := min(retryMin<<min(k.attempts, 10), retryMax)
	d = d/2 + time.Duration(k.rng.Int64N(int64(d/2)))
	timer := c.clock.NewTimer(d)
	defer timer.Stop()
	select {
	case <-timer.Chan():
		return true
	case <-ctx.Done():
		return false
	}
}

func (k *call) isIdempotent() bool {
	return k.kind == kindRead || k.kind == kindPhotoDown
}

// attempt makes one request.
func (c *caller) attempt(ctx context.Context, k *call) verify.Attempt {
	k.attempts++
	target := c.cfg.Targets[k.rng.IntN(len(c.cfg.Targets))]
	now := c.clock.Now()
	a := verify.Attempt{
		Request:  fmt.Sprintf("%s.%d", k.id, k.attempts),
		Call:     k.id,
		Key:      k.key,
		Method:   k.method(),
		Target:   target,
		Intended: k.intended.UnixNano(),
		Start:    now.UnixNano(),
		Outcome:  verify.OutcomeNotSent,
		Reason:   reasonLate,
	}
	if k.attempts == 1 {
		a.Start = a.Intended
	}
	if !k.isIdempotent() && !c.cfg.Unkeyed {
		a.Idempotency = fmt.Sprintf("%d-%s", k.intended.UnixMilli(), k.id)
	}
	if left := k.deadline.Sub(now); left > 0 {
		c.send(ctx, k, &a, left)
	}
	a.End = c.clock.Now().UnixNano()
	return a
}

func (k *call) method() string {
	if k.isIdempotent() {
		return http.MethodGet
	}
	return http.MethodPost
}

func (c *caller) url(k *call, target string) string {
	path := c.cfg.Path
	query := url.Values{}
	if k.kind == kindPhotoUp || k.kind == kindPhotoDown {
		path = c.cfg.PhotoPath
	}
	if k.kind == kindPhotoDown {
		query.Set("bytes", strconv.FormatInt(c.cfg.PhotoBytes, 10))
	}
	if c.cfg.ServiceTime > 0 {
		query.Set("time", c.cfg.ServiceTime.String())
	}
	path = strings.NewReplacer(
		"{service}", url.PathEscape(string(c.cfg.Service)),
		"{key}", url.PathEscape(k.key),
	).Replace(path)
	if len(query) > 0 {
		path += "?" + query.Encode()
	}
	return target + path
}
