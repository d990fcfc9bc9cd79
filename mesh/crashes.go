package mesh

import (
	"context"
	"time"

	"github.com/monsoonmoor/monsoonmoor/calls"
	"github.com/monsoonmoor/monsoonmoor/gossip"
	"github.com/monsoonmoor/monsoonmoor/poison"
)

const (
	// enoughCrashes is the number of crashes that condemn a call that was present at
	// each and never answered between.
	enoughCrashes = 3
	// quarantineTime is how long such a call is refused after its newest crash.
	quarantineTime = 2 * time.Minute
	// quarantineRetry is when a caller of such a call may ask again.
	quarantineRetry = time.Second
)

func newQuarantine(n *Node) *poison.Quarantine {
	return poison.New(poison.WithClock(n.clock), poison.WithLogger(n.log), poison.WithScope(n.scope),
		poison.WithExpiry(quarantineTime), poison.WithEnough(enoughCrashes))
}

// fly runs a call at the upstream, unless it is known to crash upstreams.
func (n *Node) fly(ctx context.Context, call *calls.Call, instance string) (*calls.Reply, error) {
	fingerprint := poison.Fingerprint(call, prefixOf(call))
	pass, err := n.quarantine.Enter(ctx, call.Service, fingerprint)
	if err != nil {
		n.log.Info("crashes upstreams", "request", call.ID, "fingerprint", fingerprint)
		return nil, calls.NewNotRun(calls.ReasonQuarantine, calls.WithRetryAfter(quarantineRetry))
	}
	n.flights.begin(fingerprint)
	reply, err := n.pool.Run(ctx, call, instance)
	end := poison.Completed
	if err != nil {
		end = poison.NotSent
		if calls.AsError(err).Outcome() == calls.Unknown {
			end = poison.Lost
		}
	}
	n.flights.end(n.clock.Now(), fingerprint, end == poison.Lost)
	if err != nil && calls.AsError(err).Reason() == calls.ReasonUpstreamLost {
		n.doubtUpstream()
	}
	if pass.Leave(end) {
		n.tellSuspects([]uint64{fingerprint})
	}
	return reply, err
}

// prefixOf returns the part of a call's body that goes into its fingerprint.
func prefixOf(call *calls.Call) []byte {
	body, ok := call.Body.(*calls.Buffered)
	if !ok {
		return nil
	}
	data := body.Bytes()
	return data[:min(len(data), poison.PrefixBytes)]
}

// crashed notes the calls that were at the upstream when that life of it crashed.
func (n *Node) crashed(instance string) {
	running := n.flights.crash(n.clock.Now())
	if instance == "" || len(running) == 0 {
		return
	}
	service := n.settings.Service
	n.log.Info("upstream crashed", "id", instance, "calls", len(running))
	n.quarantine.Crash(service, poison.CrashID(n.settings.Host, service, instance), running)
	n.tellSuspects(running)
}

// tellSuspects tells the daemons of the service what is known of some fingerprints.
func (n *Node) tellSuspects(fingerprints []uint64) {
	report := n.quarantine.About(n.settings.Service, fingerprints)
	if report == nil {
		return
	}
	n.mu.Lock()
	live := n.state.Live(n.clock.Now())
	n.mu.Unlock()
	for _, e := range live {
		if e.Inc.Host != n.settings.Host && e.Service == n.settings.Service {
			n.socket.Send(e.Addr, gossip.Message{From: n.self, Suspects: report})
		}
	}
}
