package steer

import (
	"context"
	"time"

	"github.com/monsoonmoor/monsoonmoor/calls"
	"github.com/monsoonmoor/monsoonmoor/ident"
	"github.com/monsoonmoor/monsoonmoor/owner"
)

// Target is a daemon whose upstream can run calls of a service.
type Target struct {
	Host ident.Host
	Addr string
	// Local is set for this daemon itself, Near for a daemon in the same zone.
	Local, Near bool
	// Region is that of the daemon's zone; empty if it is unknown.
	Region ident.Region
	// Wait is the expected wait of a call there.
	Wait time.Duration
	// Capacity is the rate at which the upstream can serve calls, per second.
	Capacity float64
	// Slots is the number of calls that the upstream runs concurrently.
	Slots int
}

// Directory looks up the daemons to which calls can be sent.
type Directory interface {
	// LookupOwner returns the ownership state of a key as seen by this daemon, and the host
	// of its owner if that is another daemon.
	LookupOwner(service ident.Service, point uint32) (owner.KeyStatus, ident.Host)
	// Target returns the daemon of a host; ok is false if the host is unknown.
	Target(host ident.Host) (Target, bool)
	// Targets returns the live daemons whose upstream runs the service and is ready.
	Targets(service ident.Service) []Target
	// Changed returns a channel that is closed at the next change of the ownership
	// table or of the targets.
	Changed() <-chan struct{}
}

// Forwarder sends a call to another daemon. Its error is a *calls.Error.
type Forwarder interface {
	Forward(ctx context.Context, addr string, call *calls.Call) (*calls.Reply, error)
}
