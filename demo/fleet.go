package demo

import (
	"context"
	"crypto/ed25519"
	"errors"
	"fmt"
	"io"
	"net"
	"net/http"
	"time"

	"github.com/go-logr/logr"
	"github.com/jonboulle/clockwork"

	"github.com/monsoonmoor/monsoonmoor/certs"
	"github.com/monsoonmoor/monsoonmoor/ident"
	"github.com/monsoonmoor/monsoonmoor/logsrv"
	"github.com/monsoonmoor/monsoonmoor/plog"
	"github.com/monsoonmoor/monsoonmoor/policy"
	"github.com/monsoonmoor/monsoonmoor/stream"
)

const (
	// loopback is the address that every listener of the demo takes.
	loopback = "127.0.0.1:0"
	// serviceTime is the mean time that an upstream takes for a request.
	serviceTime = 3 * time.Millisecond
	// settleInterval is the time between two looks at the fleet.
	settleInterval = 50 * time.Millisecond
)

// Fleet is a log and a number of hosts in one process.
type Fleet struct {
	clock       clockwork.Clock
	log         logr.Logger
	history     io.Writer
	deployments []Deployment
	share       policy.Share
	serviceTime time.Duration
	logs        *logsrv.Server
	server      *http.Server
	logURL      string
	authority   *certs.Authority
	root        ed25519.PublicKey
	rootKey     ed25519.PrivateKey
	hosts       []*Host
}

// Option sets a detail of a Fleet.
type Option func(*Fleet)

// WithClock sets the clock.
func WithClock(clock clockwork.Clock) Option {
	return func(f *Fleet) { f.clock = clock }
}

// WithLogger sets the logger.
func WithLogger(log logr.Logger) Option {
	return func(f *Fleet) { f.log = log }
}

// WithHistory sets where the upstreams write what they execute.
func WithHistory(w io.Writer) Option {
	return func(f *Fleet) { f.history = w }
}

// WithShare sets how the load of every service is shared out.
func WithShare(share policy.Share) Option {
	return func(f *Fleet) { f.share = share }
}

// WithServiceTime sets the mean time that an upstream takes for a request.
func WithServiceTime(d time.Duration) Option {
	return func(f *Fleet) { f.serviceTime = d }
}

// Start starts the log, publishes the settings of all teams and starts every
// host.
func Start(deployments []Deployment, opts ...Option) (*Fleet, error) {
	f := &Fleet{
		clock:       clockwork.NewRealClock(),
		log:         logr.Discard(),
		history:     io.Discard,
		deployments: deployments,
		share:       policy.DefaultService().Share,
		serviceTime: serviceTime,
	}
	for _, opt := range opts {
		opt(f)
	}
	if err := f.start(); err != nil {
		return nil, errors.Join(err, f.Close())
	}
	return f, nil
}

func (f *Fleet) start() error {
	if err := f.startLog(); err != nil {
		return err
	}
	authority, err := certs.NewAuthority(certs.WithClock(f.clock))
	if err != nil {
		return fmt.Errorf("make authority: %w", err)
	}
	f.authority = authority
	if err := f.publishAll(); err != nil {
		return err
	}
	for _, d := range f.deployments {
		if err := f.startHosts(d); err != nil {
			return err
		}
	}
	return nil
}

func (f *Fleet) startLog() error {
	f.logs = logsrv.New(logsrv.WithClock(f.clock), logsrv.WithControl(), logsrv.WithLogger(f.log))
	bound, err := net.Listen("tcp", loopback)
	if err != nil {
		return fmt.Errorf("listen for the log: %w", err)
	}
	f.logURL = "http://" + bound.Addr().String()
	f.server = &http.Server{Handler: f.logs, ReadHeaderTimeout: time.Second}
	go func() {
		if err := f.server.Serve(bound); !errors.Is(err, http.ErrServerClosed) {
			f.log.Error(err, "log ended")
		}
	}()
	return nil
}

// publishAll makes the keys and publishes each team's settings.
func (f *Fleet) publishAll() error {
	var err error
	f.root, f.rootKey, err = ed25519.GenerateKey(nil)
	if err != nil {
		return fmt.Errorf("make root key: %w", err)
	}
	port := stream.Dial(f.logURL, stream.WithClock(f.clock))
	publisher := policy.NewPublisher(plog.New(port), []ed25519.PublicKey{f.root}, policy.WithClock(f.clock))
	for _, d := range f.deployments {
		if err := f.publish(publisher, d); err != nil {
			return errors.Join(err, port.Close())
		}
	}
	if err := port.Close(); err != nil {
		return fmt.Errorf("close log: %w", err)
	}
	return nil
}

func (f *Fleet) publish(publisher *policy.Publisher, d Deployment) error {
	ctx := context.Background()
	public, private, err := ed25519.GenerateKey(nil)
	if err != nil {
		return fmt.Errorf("make key of %s: %w", d.Team, err)
	}
	team := policy.Team(d.Team)
	key, err := policy.NewKey(f.rootKey, policy.NewID(), policy.KeyGrant{Team: team, Number: 1, Key: public})
	if err != nil {
		return fmt.Errorf("grant key of %s: %w", d.Team, err)
	}
	document := policy.Document{Team: team, Services: make(map[ident.Service]policy.Service)}
	for _, s := range d.Services {
		service := policy.DefaultService()
		service.Divided = s.Divided
		service.Places = d.Places
		service.Share = f.share
		document.Services[s.Name] = service
	}
	change, err := policy.NewChange(private, policy.NewID(), document)
	if err != nil {
		return fmt.Errorf("sign settings of %s: %w", d.Team, err)
	}
	for _, entry := range []policy.Entry{key, change} {
		if _, _, err := publisher.Publish(ctx, entry); err != nil {
			return fmt.Errorf("publish settings of %s: %w", d.Team, err)
		}
	}
	return nil
}

// startHosts starts the hosts of a deployment, spread over its places.
func (f *Fleet) startHosts(d Deployment) error {
	n := 0
	for _, s := range d.Services {
		for range s.Upstreams {
			place := d.Places[n%len(d.Places)]
			n++
			name := ident.Host(fmt.Sprintf("%s-%d", place, n))
			host, err := f.startHostAnywhere(name, place, d.Region, s)
			if err != nil {
				return fmt.Errorf("start host %s: %w", name, err)
			}
			f.hosts = append(f.hosts, host)
		}
	}
	return nil
}

// Hosts returns the hosts in the order of their start.
func (f *Fleet) Hosts() []*Host { return f.hosts }

// Logs returns the stand-in log, which takes orders for faults.
func (f *Fleet) Logs() *logsrv.Server { return f.logs }

// LogURL returns the base URL of the log.
func (f *Fleet) LogURL() string { return f.logURL }

// Targets returns the callers' base URLs of the daemons of a region.
func (f *Fleet) Targets(region ident.Region) []string {
	var urls []string
	for _, h := range f.hosts {
		if h.region == region && !h.lost {
			urls = append(urls, h.CallerURL())
		}
	}
	return urls
}

// Settle waits until every slot of every divided service has an owner in the
// view of every daemon.
func (f *Fleet) Settle(ctx context.Context) error {
	for {
		waits := f.unsettled()
		if waits == "" {
			return nil
		}
		select {
		case <-ctx.Done():
			return fmt.Errorf("wait for owners: %s: %w", waits, ctx.Err())
		case <-f.clock.After(settleInterval):
		}
	}
}

// unsettled names what the fleet waits for; empty when it is settled.
func (f *Fleet) unsettled() string {
	for _, h := range f.hosts {
		if h.lost {
			continue
		}
		status := h.daemon.Status()
		for _, d := range f.deployments {
			for _, s := range d.Services {
				if s.Divided && !isOwned(status, s.Name) {
					return fmt.Sprintf("%s at %s", s.Name, h.name)
				}
			}
		}
	}
	return ""
}

// Close ends all hosts and the log.
func (f *Fleet) Close() error {
	var errs []error
	for _, h := range f.hosts {
		if !h.lost {
			errs = append(errs, h.Kill())
		}
	}
	if f.server != nil {
		errs = append(errs, f.server.Close())
	}
	return errors.Join(errs...)
}
