package config

import (
	"time"

	"github.com/monsoonmoor/monsoonmoor/ident"
	"github.com/monsoonmoor/monsoonmoor/strict"
)

// Settings holds the settings of a single daemon. The zero value is invalid; use
// Default as the starting point.
type Settings struct {
	// Host is the name of the host that runs the daemon and its upstream.
	Host ident.Host `yaml:"host"`
	// Place is the host's availability zone.
	Place ident.Place `yaml:"place"`
	// Region is the group of availability zones that contains Place.
	Region ident.Region `yaml:"region"`
	// Service is the service that the upstream provides. If empty, the service
	// that the upstream announces is used.
	Service ident.Service `yaml:"service"`
	Listen  Listen        `yaml:"listen"`
	// Advertise holds the addresses under which the daemon is reachable. An empty
	// address defaults to that in Listen.
	Advertise Advertise `yaml:"advertise"`
	Log       Log       `yaml:"log"`
	TLS       TLS       `yaml:"tls"`
	Lease     Lease     `yaml:"lease"`
	Grant     Grant     `yaml:"grant"`
	Limits    Limits    `yaml:"limits"`
	Timeline  Timeline  `yaml:"timeline"`
	// Roots lists the operators' public root keys, in the format that keygen
	// prints. Team settings need a team key that goes back to a signature of one of them.
	Roots []string `yaml:"roots"`
	// Seeds lists the operator listeners of other daemons, as IP:port. A daemon
	// that starts while the log is unavailable requests the owners and settings
	// from them, so that it can route; it owns nothing until it has read the log.
	Seeds []string `yaml:"seeds"`
	// Verbosity is the highest verbosity level (V-level) at which log events are written.
	Verbosity int `yaml:"verbose"`
	// TokenFile is the path of the file that holds the operators' token. If empty, the
	// operator listener accepts commands from every client that can reach it.
	TokenFile string `yaml:"token"`
}

// Listen holds the addresses of the daemon's listeners, as IP:port.
type Listen struct {
	// Caller accepts HTTP requests of callers.
	Caller string `yaml:"caller"`
	// Peer accepts QUIC connections (UDP) of other daemons.
	Peer string `yaml:"peer"`
	// Admin accepts HTTP requests of operators.
	Admin string `yaml:"admin"`
	// Upstream accepts the announcements of the upstream on the same host.
	Upstream string `yaml:"upstream"`
}

// Advertise holds the addresses under which callers, other daemons and operators
// reach the daemon, as IP:port.
type Advertise struct {
	Caller string `yaml:"caller"`
	Peer   string `yaml:"peer"`
	Admin  string `yaml:"admin"`
}

// Log configures the access to the platform's append-only log.
type Log struct {
	// URL is the http or https URL of the log, with an IP address and a port.
	URL string `yaml:"url"`
	// AppendRate is the maximum rate at which this daemon appends to the log, in
	// appends per second.
	AppendRate float64 `yaml:"budget"`
	// Retention is the minimum time for which the log retains records.
	Retention time.Duration `yaml:"keep"`
}

// TLS holds the paths of the PEM files for mutual TLS between daemons. Relative
// paths are resolved against the directory of the settings file.
type TLS struct {
	CA   string `yaml:"ca"`
	Cert string `yaml:"cert"`
	Key  string `yaml:"key"`
}

// Lease configures the lease that a member renews with its witnesses.
type Lease struct {
	// Length is the duration of a lease, counted from the time at which its renewal
	// was sent.
	Length time.Duration `yaml:"length"`
	// RenewInterval is the interval between renewals.
	RenewInterval time.Duration `yaml:"renew"`
	// Drift is the maximum clock drift between two hosts during a lease. A witness
	// waits for this time in addition to the lease before it votes.
	Drift time.Duration `yaml:"drift"`
}

// Grant configures the grants that the daemon issues to its upstream.
type Grant struct {
	// Length is the duration of a grant; it is at most that of the lease.
	Length time.Duration `yaml:"length"`
}

// Limits bounds the memory, connections and time that callers can use in the daemon.
type Limits struct {
	// Queue is the maximum number of requests that wait for the upstream.
	Queue int `yaml:"queue"`
	// Body is the maximum size of a request or response body.
	Body strict.Size `yaml:"body"`
	// Header is the maximum size of a request header.
	Header strict.Size `yaml:"header"`
	// CallerConns is the maximum number of open connections from callers.
	CallerConns int `yaml:"callers"`
	// UpstreamConns is the maximum number of open connections to the upstream.
	UpstreamConns int `yaml:"conns"`
	// Journal is the maximum memory used by idempotency entries.
	Journal strict.Size `yaml:"journal"`
	// HeaderTimeout is the timeout within which a caller must send its request header.
	HeaderTimeout time.Duration `yaml:"read"`
	// IdleTimeout is the time after which an idle caller connection is closed.
	IdleTimeout time.Duration `yaml:"idle"`
	// Timeout is the default timeout of requests that do not specify one.
	Timeout time.Duration `yaml:"timeout"`
}

// Timeline configures the daemon's timeline of events.
type Timeline struct {
	// Size is the maximum number of events that the timeline retains.
	Size int `yaml:"size"`
}

// Default returns the default settings, which apply to fields that the file does not
// set. Required fields, such as host and listen, have no default.
func Default() Settings {
	return Settings{
		Log:   Log{AppendRate: 5, Retention: time.Hour},
		Lease: Lease{Length: 1500 * time.Millisecond, RenewInterval: 500 * time.Millisecond, Drift: 100 * time.Millisecond},
		Grant: Grant{Length: time.Second},
		Limits: Limits{
			Queue:         256,
			Body:          32 << 20,
			Header:        32 << 10,
			CallerConns:   4096,
			UpstreamConns: 100,
			Journal:       16 << 20,
			HeaderTimeout: 5 * time.Second,
			IdleTimeout:   time.Minute,
			Timeout:       10 * time.Second,
		},
		Timeline: Timeline{Size: 4096},
	}
}
