package fault

import (
	"net"
	"sync"
)

// rules holds what is in force on one link.
type rules struct {
	mu      sync.Mutex
	all     Rule
	sources map[string]Rule
	// changed is closed at every change.
	changed chan struct{}
}

// maxSources bounds the sources with rules of their own.
const maxSources = 4096

func newRules() *rules {
	return &rules{sources: make(map[string]Rule), changed: make(chan struct{})}
}

func (r *rules) set(rule Rule) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.all = rule
	r.broadcast()
}

// base returns the rule for traffic without one of its own.
func (r *rules) base() Rule {
	r.mu.Lock()
	defer r.mu.Unlock()
	return r.all
}

// setFrom sets the rule of one source; the zero rule removes it.
func (r *rules) setFrom(source string, rule Rule) bool {
	r.mu.Lock()
	defer r.mu.Unlock()
	_, known := r.sources[source]
	switch {
	case rule == (Rule{}):
		delete(r.sources, source)
	case !known && len(r.sources) >= maxSources:
		return false
	default:
		r.sources[source] = rule
	}
	r.broadcast()
	return true
}

func (r *rules) broadcast() {
	close(r.changed)
	r.changed = make(chan struct{})
}

// of returns the rule for traffic of a source, and a channel that is closed
// when it may have changed.
func (r *rules) of(source net.Addr) (Rule, <-chan struct{}) {
	r.mu.Lock()
	defer r.mu.Unlock()
	if len(r.sources) == 0 {
		return r.all, r.changed
	}
	address := source.String()
	if rule, ok := r.sources[address]; ok {
		return rule, r.changed
	}
	if host, _, err := net.SplitHostPort(address); err == nil {
		if rule, ok := r.sources[host]; ok {
			return rule, r.changed
		}
	}
	return r.all, r.changed
}
