package vhost

import (
	"sync"

	"github.com/monsoonmoor/monsoonmoor/calls"
	"github.com/monsoonmoor/monsoonmoor/ident"
)

// Destination is one destination of a route: a service and its weight. Its share of the
// calls is its weight divided by the sum of the weights.
type Destination struct {
	Service ident.Service
	Weight  int
}

// Route distributes the calls for a host and a path prefix among services. It is
// safe for concurrent use.
type Route struct {
	host         string
	prefix       string
	destinations []Destination
	terms        calls.RoutePolicy

	mu sync.Mutex
	// currentWeights holds the state of the smooth weighted round-robin, by
	// index of the destination.
	currentWeights []int
}

// NewRoute returns a route for a host and a path prefix. A destination with a
// weight of zero gets no calls, unless it is the only one.
func NewRoute(host, prefix string, destinations []Destination, terms calls.RoutePolicy) *Route {
	return &Route{host: host, prefix: prefix, destinations: destinations, terms: terms,
		currentWeights: make([]int, len(destinations))}
}

// Terms returns the route's policy for its calls.
func (r *Route) Terms() calls.RoutePolicy { return r.terms }

// Prefix returns the path prefix that the route matches.
func (r *Route) Prefix() string { return r.prefix }

// Pick returns the service for the next call, by smooth weighted round-robin: the
// numbers of calls per service follow the weights as closely as whole numbers can.
func (r *Route) Pick() ident.Service {
	if len(r.destinations) == 1 {
		return r.destinations[0].Service
	}
	r.mu.Lock()
	defer r.mu.Unlock()
	best, total := 0, 0
	for i, d := range r.destinations {
		r.currentWeights[i] += d.Weight
		total += d.Weight
		if r.currentWeights[i] > r.currentWeights[best] {
			best = i
		}
	}
	r.currentWeights[best] -= total
	return r.destinations[best].Service
}
