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
	// Local is set for this daemon itself, Near for one in the same zone.
	Local, Near bool
	// Wait is how long a call is expected to wait there.
	Wait time.Duration
	// Capacity is the rate of calls that the upstream can serve, per second.
	Capacity float64
	// Slots is the number of calls that the upstream runs at once.
	Slots int
}

// Directory tells where calls can go.
type Directory interface {
	// Where returns the place of a key and the daemon that owns it, if that is
	// another one.
	Where(service ident.Service, point uint32) (owner.Place, ident.Host)
	// Target returns a daemon by its host; ok is false if it is not known.
	Target(host ident.Host) (Target, bool)
	// Targets returns the live daemons whose upstream is of the service and
	// ready.
	Targets(service ident.Service) []Target
	// Changed returns a channel that is closed at the next change of places or
	// targets.
	Changed() <-chan struct{}
}

// Forwarder sends a call to another daemon. Its error is a *calls.Error.
type Forwarder interface {
	Forward(ctx context.Context, addr string, call *calls.Call) (*calls.Reply, error)
}
