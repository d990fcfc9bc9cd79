package daemon

import (
	"time"

	"github.com/monsoonmoor/monsoonmoor/caller"
	"github.com/monsoonmoor/monsoonmoor/config"
	"github.com/monsoonmoor/monsoonmoor/ident"
	"github.com/monsoonmoor/monsoonmoor/policy"
)

// services implements caller.ServiceSource over the accepted settings.
type services struct {
	state  func() *policy.State
	ready  func() bool
	limits config.Limits
}

// Ready implements caller.ServiceSource.
func (s services) Ready() bool { return s.ready() }

// Service implements caller.ServiceSource.
func (s services) Service(name ident.Service) (caller.Service, bool) {
	accepted, ok := s.state().Service(name)
	if !ok {
		return nil, false
	}
	return service{accepted: accepted, limits: s.limits}, true
}

// service implements caller.Service over one service's accepted settings.
type service struct {
	accepted policy.Service
	limits   config.Limits
}

// Divided implements caller.Service.
func (s service) Divided() bool { return s.accepted.Divided }

// KeyRule implements caller.Service. Settings count path segments from 1.
func (s service) KeyRule() caller.Rule {
	key := s.accepted.Key
	switch key.From {
	case policy.FromPath:
		return caller.PathRule(key.Segment - 1)
	case policy.FromQuery:
		return caller.QueryRule(key.Name)
	case policy.FromHeader:
		return caller.HeaderRule(key.Name)
	}
	return caller.Rule{}
}

// MaxBody implements caller.Service.
func (s service) MaxBody() int64 { return int64(min(s.accepted.Body, s.limits.Body)) }

// DefaultTimeout implements caller.Service.
func (s service) DefaultTimeout() time.Duration {
	if s.accepted.Timeout > 0 {
		return s.accepted.Timeout
	}
	return s.limits.Timeout
}

// RequiresIdempotencyKey implements caller.Service. A non-idempotent request without an
// Idempotency-Key is run at most once by the daemon, so it is not refused.
func (s service) RequiresIdempotencyKey() bool { return false }
