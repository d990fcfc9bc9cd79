package upsim

import (
	"encoding/json"
	"errors"
	"fmt"
	"io"
	"sync"
	"time"

	"github.com/jonboulle/clockwork"

	"github.com/monsoonmoor/monsoonmoor/grant"
	"github.com/monsoonmoor/monsoonmoor/ident"
	"github.com/monsoonmoor/monsoonmoor/verify"
)

// maxKeys bounds the keys that an upstream holds state for.
const maxKeys = 1 << 20

// maxValue bounds the value that is kept of a key, in bytes.
const maxValue = 128

var (
	errDead = errors.New("upstream has crashed")
	errKeys = errors.New("too many keys")
)

// value is the state of one key.
type value struct {
	counter uint64
	last    []byte
}

// state is what requests have their effect on: keys, grants and the history.
// One lock makes the check of a grant and the effect one step.
type state struct {
	cfg      Config
	clock    clockwork.Clock
	instance string
	started  time.Time

	mu      sync.Mutex
	grants  *grants
	keys    map[string]*value
	history *json.Encoder
	dead    bool
}

func newState(cfg Config, clock clockwork.Clock, instance string, history io.Writer) *state {
	s := &state{
		cfg:      cfg,
		clock:    clock,
		instance: instance,
		started:  clock.Now(),
		grants:   newGrants(),
		keys:     make(map[string]*value),
	}
	if history != nil {
		s.history = json.NewEncoder(history)
	}
	return s
}

// age returns how long the upstream has run.
func (s *state) age() time.Duration {
	return s.clock.Since(s.started)
}

// admit checks a request's grant before it starts.
func (s *state) admit(j *job) error {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.check(s.clock.Now(), j)
}

func (s *state) check(now time.Time, j *job) error {
	if s.dead {
		return errDead
	}
	if !s.cfg.Checks {
		return nil
	}
	if !j.fenced {
		return &FenceError{Why: "no fencing token"}
	}
	return s.grants.check(now, j.slot, j.epoch)
}

// commit checks the grant again, gives the request its effect and records it.
func (s *state) commit(j *job) (value, error) {
	s.mu.Lock()
	defer s.mu.Unlock()
	now := s.clock.Now()
	if err := s.check(now, j); err != nil {
		return value{}, err
	}
	v, err := s.value(j.key)
	if err != nil {
		return value{}, err
	}
	if j.writes() {
		v.counter++
		v.last = j.body[:min(len(j.body), maxValue)]
	}
	s.record(now, j, v.counter, false)
	return *v, nil
}

// crash records a poisonous request and ends the effects of all others.
func (s *state) crash(j *job) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if !s.dead {
		s.record(s.clock.Now(), j, 0, true)
	}
	s.dead = true
}

// kill ends the effects of all requests.
func (s *state) kill() {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.dead = true
}

func (s *state) value(key string) (*value, error) {
	v := s.keys[key]
	if v != nil {
		return v, nil
	}
	if len(s.keys) >= maxKeys {
		return nil, errKeys
	}
	v = &value{}
	s.keys[key] = v
	return v, nil
}

func (s *state) record(now time.Time, j *job, counter uint64, crash bool) {
	if s.history == nil {
		return
	}
	err := s.history.Encode(verify.Execution{
		Wall:        now.UnixNano(),
		Mono:        int64(now.Sub(s.started)),
		Host:        s.cfg.Host,
		Instance:    s.instance,
		Service:     s.cfg.Service,
		Key:         j.key,
		Slot:        j.slot,
		Epoch:       j.epoch,
		Request:     j.request,
		Idempotency: j.idempotency,
		Method:      j.method,
		Counter:     counter,
		Crash:       crash,
	})
	if err != nil {
		panic(fmt.Sprintf("history of %s is incomplete: %v", s.cfg.Host, err))
	}
}

func (s *state) takeGrants(sent time.Time, g grant.Grants) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.grants.take(sent, g)
}

func (s *state) revision() uint64 {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.grants.revision
}

// Granted is what an upstream may run now, for tests and operators.
type Granted struct {
	Revision uint64        `json:"revision"`
	Left     time.Duration `json:"left"`
	Spans    []grant.Span  `json:"spans"`
}

func (s *state) granted() Granted {
	s.mu.Lock()
	defer s.mu.Unlock()
	left := s.grants.expires.Sub(s.clock.Now())
	return Granted{Revision: s.grants.revision, Left: max(0, left), Spans: s.grants.spans}
}

// Counter returns the counter of a key.
func (s *state) counter(key string) uint64 {
	s.mu.Lock()
	defer s.mu.Unlock()
	if v := s.keys[key]; v != nil {
		return v.counter
	}
	return 0
}

// host names the upstream in answers.
func (s *state) host() ident.Host { return s.cfg.Host }
