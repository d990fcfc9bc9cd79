package vhost

import (
	"sync"

	"github.com/monsoonmoor/monsoonmoor/calls"
	"github.com/monsoonmoor/monsoonmoor/ident"
)

// Part is one service of a route and its share of the calls.
type Part struct {
	Service ident.Service
	Weight  int
}

// Route sends the calls of a host and path prefix to services.
type Route struct {
	host   string
	prefix string
	parts  []Part
	terms  calls.Terms

	mu      sync.Mutex
	credits []int
}

// NewRoute returns a route. Parts with a weight of zero get no calls.
func NewRoute(host, prefix string, parts []Part, terms calls.Terms) *Route {
	return &Route{host: host, prefix: prefix, parts: parts, terms: terms, credits: make([]int, len(parts))}
}

// Terms returns how the route's calls are treated.
func (r *Route) Terms() calls.Terms { return r.terms }

// Prefix returns the beginning of the paths that the route takes.
func (r *Route) Prefix() string { return r.prefix }

// Pick returns the service of the next call. Shares follow the weights as closely
// as whole calls can (smooth weighted round-robin).
func (r *Route) Pick() ident.Service {
	if len(r.parts) == 1 {
		return r.parts[0].Service
	}
	r.mu.Lock()
	defer r.mu.Unlock()
	best, total := 0, 0
	for i, part := range r.parts {
		r.credits[i] += part.Weight
		total += part.Weight
		if r.credits[i] > r.credits[best] {
			best = i
		}
	}
	r.credits[best] -= total
	return r.parts[best].Service
}
