package fault

import (
	"errors"
	"fmt"
	"net"
	"slices"
	"strings"
	"sync"

	"github.com/go-logr/logr"
	"github.com/jonboulle/clockwork"
)

// maxLinks bounds the links of a forwarder.
const maxLinks = 1024

// Errors of a Forwarder.
var (
	// ErrLink means that no link has the name given.
	ErrLink = errors.New("no such link")
	// ErrNetwork means that a link's network is neither tcp nor udp.
	ErrNetwork = errors.New("network must be tcp or udp")
	// ErrTooMany means that a bound on links or sources is reached.
	ErrTooMany = errors.New("too many")
	// ErrExists means that the link's name is in use.
	ErrExists = errors.New("link exists")
)

// Link describes a forwarded address.
type Link struct {
	Name string `json:"name"`
	// Network is "tcp" or "udp".
	Network string `json:"network"`
	// Listen is the address that stands for the target; its port may be 0.
	Listen string `json:"listen"`
	Target string `json:"target"`
}

// Status is a link as it stands.
type Status struct {
	Link
	Rule Rule `json:"rule"`
	// Flows is the number of present flows.
	Flows int `json:"flows"`
}

// carrier forwards one link; TCP and UDP each have one.
type carrier interface {
	addr() net.Addr
	// apply puts changed rules in force on present flows.
	apply()
	cut()
	forget()
	count() int
	close()
}

type entry struct {
	link    Link
	rules   *rules
	carrier carrier
}

// Forwarder carries links. It is safe for concurrent use.
type Forwarder struct {
	clock clockwork.Clock
	log   logr.Logger

	mu    sync.Mutex
	links map[string]*entry
}

// Option sets a detail of a Forwarder.
type Option func(*Forwarder)

// WithClock sets the clock.
func WithClock(clock clockwork.Clock) Option {
	return func(f *Forwarder) { f.clock = clock }
}

// WithLogger sets the logger for changes of rules.
func WithLogger(log logr.Logger) Option {
	return func(f *Forwarder) { f.log = log }
}

// New returns a forwarder without links.
func New(opts ...Option) *Forwarder {
	f := &Forwarder{
		clock: clockwork.NewRealClock(),
		log:   logr.Discard(),
		links: make(map[string]*entry),
	}
	for _, opt := range opts {
		opt(f)
	}
	return f
}

// Add opens a link and returns the address on which it listens.
func (f *Forwarder) Add(l Link) (string, error) {
	f.mu.Lock()
	defer f.mu.Unlock()
	if f.links[l.Name] != nil {
		return "", fmt.Errorf("add link %q: %w", l.Name, ErrExists)
	}
	if len(f.links) >= maxLinks {
		return "", fmt.Errorf("add link %q: %w", l.Name, ErrTooMany)
	}
	e := &entry{link: l}
	switch l.Network {
	case "tcp":
		t, err := listenTCP(l, f.clock)
		if err != nil {
			return "", err
		}
		e.carrier, e.rules = t, t.rules
	case "udp":
		u, err := listenUDP(l, f.clock)
		if err != nil {
			return "", err
		}
		e.carrier, e.rules = u, u.rules
	default:
		return "", fmt.Errorf("add link %q: %w", l.Name, ErrNetwork)
	}
	e.link.Listen = e.carrier.addr().String()
	f.links[l.Name] = e
	f.log.Info("link", "name", l.Name, "network", l.Network, "listen", e.link.Listen, "target", l.Target)
	return e.link.Listen, nil
}

// Set replaces the rule of a link for all traffic that has none of its own.
func (f *Forwarder) Set(name string, r Rule) error {
	e, err := f.find(name)
	if err != nil {
		return err
	}
	e.rules.set(r)
	e.carrier.apply()
	f.log.Info("rule", "name", name, "drop", r.Drop, "cut", r.Cut, "delay", r.Delay, "loss", r.Loss)
	return nil
}

// SetFrom replaces the rule for traffic from one source, given as an IP
// address or as address and port. It goes before the rule of Set; the zero
// rule removes it.
func (f *Forwarder) SetFrom(name, source string, r Rule) error {
	e, err := f.find(name)
	if err != nil {
		return err
	}
	if !e.rules.setFrom(source, r) {
		return fmt.Errorf("set rule of %q for %s: %w", name, source, ErrTooMany)
	}
	e.carrier.apply()
	f.log.Info("rule", "name", name, "from", source, "drop", r.Drop, "cut", r.Cut, "delay", r.Delay, "loss", r.Loss)
	return nil
}

// Cut resets the present flows of a link once; new ones work.
func (f *Forwarder) Cut(name string) error {
	e, err := f.find(name)
	if err != nil {
		return err
	}
	e.carrier.cut()
	f.log.Info("cut", "name", name)
	return nil
}

// Forget makes the present flows of a link silent for good; new ones work.
func (f *Forwarder) Forget(name string) error {
	e, err := f.find(name)
	if err != nil {
		return err
	}
	e.carrier.forget()
	f.log.Info("forget", "name", name)
	return nil
}

// Links returns all links, by name.
func (f *Forwarder) Links() []Status {
	f.mu.Lock()
	defer f.mu.Unlock()
	list := make([]Status, 0, len(f.links))
	for _, e := range f.links {
		list = append(list, Status{Link: e.link, Rule: e.rules.base(), Flows: e.carrier.count()})
	}
	slices.SortFunc(list, func(a, b Status) int { return strings.Compare(a.Name, b.Name) })
	return list
}

// Close ends all links.
func (f *Forwarder) Close() error {
	f.mu.Lock()
	defer f.mu.Unlock()
	for name, e := range f.links {
		e.carrier.close()
		delete(f.links, name)
	}
	return nil
}

func (f *Forwarder) find(name string) (*entry, error) {
	f.mu.Lock()
	defer f.mu.Unlock()
	e := f.links[name]
	if e == nil {
		return nil, fmt.Errorf("link %q: %w", name, ErrLink)
	}
	return e, nil
}
