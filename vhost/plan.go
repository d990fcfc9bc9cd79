package vhost

import (
	"errors"
	"fmt"
	"strings"
	"sync/atomic"
	"time"

	"github.com/monsoonmoor/monsoonmoor/ident"
)

// ErrRoutingConfig is returned for an invalid configuration of routes.
var ErrRoutingConfig = errors.New("bad routes")

// Service is the operators' configuration of a service.
type Service struct {
	Name ident.Service
	// Ordered is set for a service with numeric keys that have one owner each.
	Ordered bool
	// Conns is the largest number of connections to one upstream.
	Conns int
	// Health is the URL path of the health check.
	Health string
	// Warmup is how long requests for keys are slow at a new owner that has received
	// no state from the previous owner.
	Warmup time.Duration
	// WarmupRate is the number of requests per second that an upstream bears while it is
	// cold; 0 if it needs no limit.
	WarmupRate float64
}

// Limits are the limits for callers' requests and connections.
type Limits struct {
	// HeaderBytes and BodyBytes are the largest sizes of a request's header and body.
	HeaderBytes, BodyBytes int64
	// HeaderTime is the timeout for receiving a request header. IdleTime is how long
	// a connection without a request is kept open.
	HeaderTime, IdleTime time.Duration
}

// RoutingConfig is one version of the configuration of routes, services and limits. It is
// immutable.
type RoutingConfig struct {
	version      uint64
	routesByHost map[string]map[string]*Route
	services     map[ident.Service]Service
	limits       Limits
	routeCount   int
}

// New returns a plan with the given version. It returns an error that wraps ErrRoutingConfig
// and names the route and the fault when a route is invalid, refers to an unknown
// service or has the same host and prefix as another route.
func New(version uint64, routes []*Route, services []Service, limits Limits) (*RoutingConfig, error) {
	p := &RoutingConfig{
		version:      version,
		routesByHost: make(map[string]map[string]*Route),
		services:     make(map[ident.Service]Service, len(services)),
		limits:       limits,
		routeCount:   len(routes),
	}
	for _, s := range services {
		p.services[s.Name] = s
	}
	for _, r := range routes {
		if err := p.addRoute(r); err != nil {
			return nil, err
		}
	}
	return p, nil
}

// addRoute validates a route and adds it to the plan.
func (p *RoutingConfig) addRoute(r *Route) error {
	if !strings.HasPrefix(r.prefix, "/") || !strings.HasSuffix(r.prefix, "/") {
		return fmt.Errorf("%w: route %q: prefix %q does not begin and end with a slash", ErrRoutingConfig, r.terms.Route, r.prefix)
	}
	if len(r.destinations) == 0 {
		return fmt.Errorf("%w: route %q: no service", ErrRoutingConfig, r.terms.Route)
	}
	for _, d := range r.destinations {
		if _, ok := p.services[d.Service]; !ok {
			return fmt.Errorf("%w: route %q: unknown service %q", ErrRoutingConfig, r.terms.Route, d.Service)
		}
	}
	host := normalizeHost(r.host)
	if p.routesByHost[host] == nil {
		p.routesByHost[host] = make(map[string]*Route)
	}
	if _, ok := p.routesByHost[host][r.prefix]; ok {
		return fmt.Errorf("%w: route %q: prefix %q of host %q is taken", ErrRoutingConfig, r.terms.Route, r.prefix, r.host)
	}
	p.routesByHost[host][r.prefix] = r
	return nil
}

// Version returns the plan's version; 0 is that of the empty plan of a new Holder.
func (p *RoutingConfig) Version() uint64 { return p.version }

// Routes returns the number of routes.
func (p *RoutingConfig) Routes() int { return p.routeCount }

// Limits returns the limits for callers' requests and connections.
func (p *RoutingConfig) Limits() Limits { return p.limits }

// Service returns the configuration of a service, and false if there is none.
func (p *RoutingConfig) Service(name ident.Service) (Service, bool) {
	s, ok := p.services[name]
	return s, ok
}

// Ordered returns the names of the services with numeric keys that have one owner
// each, in no particular order.
func (p *RoutingConfig) Ordered() []ident.Service {
	var names []ident.Service
	for name, s := range p.services {
		if s.Ordered {
			names = append(names, name)
		}
	}
	return names
}

// Match returns the route of the host with the longest prefix that matches the path,
// and false if there is none. The path must not contain a query.
func (p *RoutingConfig) Match(host, path string) (*Route, bool) {
	prefixes := p.routesByHost[normalizeHost(host)]
	if len(prefixes) == 0 {
		return nil, false
	}
	for end := len(path); end > 0; {
		slash := strings.LastIndexByte(path[:end], '/')
		if slash < 0 {
			return nil, false
		}
		if r, ok := prefixes[path[:slash+1]]; ok {
			return r, true
		}
		end = slash
	}
	return nil, false
}

// normalizeHost returns the form of a host name under which its routes are stored:
// in lower case, without port and trailing dot.
func normalizeHost(host string) string {
	if i := strings.LastIndexByte(host, ':'); i >= 0 && !strings.HasSuffix(host, "]") {
		host = host[:i]
	}
	return strings.ToLower(strings.TrimSuffix(host, "."))
}

// Holder holds the newest plan. It is safe for concurrent use.
type Holder struct {
	current atomic.Pointer[RoutingConfig]
}

// NewHolder returns a holder with an empty plan of version 0.
func NewHolder() *Holder {
	h := &Holder{}
	h.current.Store(&RoutingConfig{})
	return h
}

// Plan returns the newest plan.
func (h *Holder) Plan() *RoutingConfig { return h.current.Load() }

// Set replaces the current plan if p has a higher version, and reports whether it
// did.
func (h *Holder) Set(p *RoutingConfig) bool {
	for {
		old := h.current.Load()
		if p.version <= old.version {
			return false
		}
		if h.current.CompareAndSwap(old, p) {
			return true
		}
	}
}
