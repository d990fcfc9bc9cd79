package vhost

import (
	"errors"
	"fmt"
	"strings"
	"sync/atomic"
	"time"

	"github.com/monsoonmoor/monsoonmoor/ident"
)

// ErrPlan reports routes that can't be used.
var ErrPlan = errors.New("bad routes")

// Service is what the operators say of a service.
type Service struct {
	Name ident.Service
	// Ordered is set for a service whose keys are numbers with one owner each.
	Ordered bool
	// Conns is the number of connections that one upstream takes.
	Conns int
	// Health is the path of the health check.
	Health string
	// Warmup is how long keys are slow at an owner that was handed nothing.
	Warmup time.Duration
}

// Limits bound what callers may send.
type Limits struct {
	// HeaderBytes and BodyBytes are the largest header and body.
	HeaderBytes, BodyBytes int64
	// HeaderTime is how long a header may take to arrive, IdleTime how long a
	// connection may stay without a request.
	HeaderTime, IdleTime time.Duration
}

// Plan is one version of routes, services and limits. It does not change.
type Plan struct {
	version  uint64
	hosts    map[string]map[string]*Route
	services map[ident.Service]Service
	limits   Limits
	routes   int
}

// New returns the plan of a version. Its error wraps ErrPlan and names the route
// and the field.
func New(version uint64, routes []*Route, services []Service, limits Limits) (*Plan, error) {
	p := &Plan{
		version:  version,
		hosts:    make(map[string]map[string]*Route),
		services: make(map[ident.Service]Service, len(services)),
		limits:   limits,
		routes:   len(routes),
	}
	for _, s := range services {
		p.services[s.Name] = s
	}
	for _, r := range routes {
		if err := p.add(r); err != nil {
			return nil, err
		}
	}
	return p, nil
}

func (p *Plan) add(r *Route) error {
	if !strings.HasPrefix(r.prefix, "/") || !strings.HasSuffix(r.prefix, "/") {
		return fmt.Errorf("%w: route %q: prefix %q does not begin and end with a slash", ErrPlan, r.terms.Route, r.prefix)
	}
	if len(r.parts) == 0 {
		return fmt.Errorf("%w: route %q: no service", ErrPlan, r.terms.Route)
	}
	for _, part := range r.parts {
		if _, ok := p.services[part.Service]; !ok {
			return fmt.Errorf("%w: route %q: unknown service %q", ErrPlan, r.terms.Route, part.Service)
		}
	}
	host := hostKey(r.host)
	if p.hosts[host] == nil {
		p.hosts[host] = make(map[string]*Route)
	}
	if _, ok := p.hosts[host][r.prefix]; ok {
		return fmt.Errorf("%w: route %q: prefix %q of host %q is taken", ErrPlan, r.terms.Route, r.prefix, r.host)
	}
	p.hosts[host][r.prefix] = r
	return nil
}

// Version returns the plan's version; 0 for no plan.
func (p *Plan) Version() uint64 { return p.version }

// Routes returns the number of routes.
func (p *Plan) Routes() int { return p.routes }

// Limits returns what callers may send.
func (p *Plan) Limits() Limits { return p.limits }

// Service returns what the plan says of a service.
func (p *Plan) Service(name ident.Service) (Service, bool) {
	s, ok := p.services[name]
	return s, ok
}

// Ordered returns the services whose keys are numbers with one owner each.
func (p *Plan) Ordered() []ident.Service {
	var names []ident.Service
	for name, s := range p.services {
		if s.Ordered {
			names = append(names, name)
		}
	}
	return names
}

// Match returns the route with the longest prefix that begins the path, which
// must not have a query.
func (p *Plan) Match(host, path string) (*Route, bool) {
	prefixes := p.hosts[hostKey(host)]
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

// hostKey returns the form of a host name by which routes are found: lower case,
// without port and final dot.
func hostKey(host string) string {
	if i := strings.LastIndexByte(host, ':'); i >= 0 && !strings.HasSuffix(host, "]") {
		host = host[:i]
	}
	return strings.ToLower(strings.TrimSuffix(host, "."))
}

// Holder keeps the newest plan.
type Holder struct {
	plan atomic.Pointer[Plan]
}

// NewHolder returns a holder of an empty plan of version 0.
func NewHolder() *Holder {
	h := &Holder{}
	h.plan.Store(&Plan{})
	return h
}

// Plan returns the newest plan.
func (h *Holder) Plan() *Plan { return h.plan.Load() }

// Set puts a plan in force unless it is older than the one in force. It reports
// whether it did.
func (h *Holder) Set(p *Plan) bool {
	for {
		old := h.plan.Load()
		if p.version <= old.version {
			return false
		}
		if h.plan.CompareAndSwap(old, p) {
			return true
		}
	}
}
