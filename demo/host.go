package demo

import (
	"errors"
	"fmt"
	"syscall"

	"github.com/monsoonmoor/monsoonmoor/admin"
	"github.com/monsoonmoor/monsoonmoor/certs"
	"github.com/monsoonmoor/monsoonmoor/config"
	"github.com/monsoonmoor/monsoonmoor/daemon"
	"github.com/monsoonmoor/monsoonmoor/ident"
	"github.com/monsoonmoor/monsoonmoor/policy"
	"github.com/monsoonmoor/monsoonmoor/upsim"
)

// Host is an upstream and the daemon beside it.
type Host struct {
	name     ident.Host
	place    ident.Place
	region   ident.Region
	service  ident.Service
	daemon   *daemon.Daemon
	upstream *upsim.Upstream
	lost     bool
}

// startTries is the number of times that a host is started with other
// addresses when another program has taken one in between.
const startTries = 5

// startHostAnywhere starts a host on addresses that are free.
func (f *Fleet) startHostAnywhere(name ident.Host, place ident.Place, region ident.Region, s ServiceSize) (*Host, error) {
	var host *Host
	var err error
	for range startTries {
		host, err = f.startHost(name, place, region, s)
		if !errors.Is(err, syscall.EADDRINUSE) {
			break
		}
	}
	return host, err
}

// startHost starts a daemon and the upstream beside it.
func (f *Fleet) startHost(name ident.Host, place ident.Place, region ident.Region, s ServiceSize) (*Host, error) {
	pair, err := f.authority.Issue(name)
	if err != nil {
		return nil, fmt.Errorf("issue certificate: %w", err)
	}
	tlsConfig, err := certs.PairConfig(f.authority.CertPEM(), pair)
	if err != nil {
		return nil, fmt.Errorf("set keys up: %w", err)
	}
	settings, err := f.settings(name, place, region, s.Name)
	if err != nil {
		return nil, err
	}
	d, err := daemon.New(settings, daemon.WithClock(f.clock), daemon.WithLogger(f.log), daemon.WithTLS(tlsConfig))
	if err != nil {
		return nil, fmt.Errorf("start daemon: %w", err)
	}
	upstream, err := upsim.Listen(loopback, upsim.Config{
		Host:      name,
		Service:   s.Name,
		Daemon:    "http://" + d.Addr("upstream").String(),
		Slots:     s.Slots,
		Conns:     s.Conns,
		Checks:    true,
		Behaviour: upsim.Behaviour{Service: f.serviceTime, Spread: true},
	}, upsim.WithClock(f.clock), upsim.WithLogger(f.log), upsim.WithHistory(f.history))
	if err != nil {
		return nil, errors.Join(fmt.Errorf("start upstream: %w", err), d.Close())
	}
	return &Host{name: name, place: place, region: region, service: s.Name, daemon: d, upstream: upstream}, nil
}

// settings returns a daemon's settings with free addresses.
func (f *Fleet) settings(name ident.Host, place ident.Place, region ident.Region, service ident.Service) (config.Settings, error) {
	settings := config.Default()
	settings.Host = name
	settings.Place = place
	settings.Region = region
	settings.Service = service
	settings.Log.URL = f.logURL
	settings.Roots = []string{policy.FormatPublic(f.root)}
	var addrs [4]string
	for i := range addrs {
		addr, err := freeAddr(i == 1)
		if err != nil {
			return settings, err
		}
		addrs[i] = addr
	}
	settings.Listen = config.Listen{Caller: addrs[0], Peer: addrs[1], Admin: addrs[2], Upstream: addrs[3]}
	settings.Advertise = config.Advertise{Caller: addrs[0], Peer: addrs[1], Admin: addrs[2]}
	return settings, nil
}

// Name returns the host's name.
func (h *Host) Name() ident.Host { return h.name }

// Service returns the service of the host's upstream.
func (h *Host) Service() ident.Service { return h.service }

// Daemon returns the daemon.
func (h *Host) Daemon() *daemon.Daemon { return h.daemon }

// Upstream returns the upstream.
func (h *Host) Upstream() *upsim.Upstream { return h.upstream }

// CallerURL returns the base URL for callers.
func (h *Host) CallerURL() string { return "http://" + h.daemon.Addr("caller").String() }

// AdminURL returns the base URL for operators.
func (h *Host) AdminURL() string { return "http://" + h.daemon.Addr("admin").String() }

// Kill ends the upstream and the daemon at once, as the loss of a host does.
func (h *Host) Kill() error {
	h.lost = true
	h.upstream.Kill()
	if err := h.daemon.Close(); err != nil {
		return fmt.Errorf("end daemon of %s: %w", h.name, err)
	}
	return nil
}

// isOwned reports whether every slot of a service has an owner.
func isOwned(status admin.Status, name ident.Service) bool {
	for _, s := range status.Services {
		if s.Name == name {
			return s.Unowned == 0
		}
	}
	return false
}
