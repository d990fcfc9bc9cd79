package mesh

import (
	"context"
	"time"

	"github.com/monsoonmoor/monsoonmoor/calls"
	"github.com/monsoonmoor/monsoonmoor/gossip"
	"github.com/monsoonmoor/monsoonmoor/poison"
)

const (
	// crashThreshold is the number of crashes after which a call is quarantined, if it
	// was at the upstream during each of them and was not answered in between or shortly
	// before.
	crashThreshold = 3
	// quarantineDuration is how long a quarantined call is refused after its most
	// recent crash.
	quarantineDuration = 2 * time.Minute
	// quarantineRetryAfter is the time after which the caller of a refused call may
	// retry.
	quarantineRetryAfter = time.Second
)

// newQuarantine returns the quarantine for calls that crash upstreams.
func newQuarantine(n *Node) *poison.Quarantine {
	return poison.New(poison.WithClock(n.clock), poison.WithLogger(n.log), poison.WithScope(n.scope),
		poison.WithExpiry(quarantineDuration), poison.WithCrashThreshold(crashThreshold))
}

// runAtUpstream runs a call at the upstream, unless the call is quarantined. It
// registers the call while it is in flight, so that a crash can be attributed to it.
func (n *Node) runAtUpstream(ctx context.Context, call *calls.Call, instance string) (*calls.Reply, error) {
	fingerprint := poison.Fingerprint(call, bodyPrefix(call))
	pass, err := n.quarantine.Enter(ctx, call.Service, fingerprint)
	if err != nil {
		n.log.Info("crashes upstreams", "request", call.ID, "fingerprint", fingerprint)
		return nil, calls.NewNotRun(calls.ReasonQuarantine, calls.WithRetryAfter(quarantineRetryAfter))
	}
	n.inFlight.add(fingerprint, call.Answered)
	reply, err := n.pool.Run(ctx, call, instance)
	end := poison.Completed
	if err != nil {
		end = poison.NotSent
		if calls.AsError(err).Outcome() == calls.Unknown {
			end = poison.Lost
		}
	}
	now := n.clock.Now()
	n.inFlight.remove(now, fingerprint, end == poison.Lost)
	if err != nil {
		n.recordUpstreamFailure(call, calls.AsError(err).Reason())
	} else {
		n.answered.Record(now, fingerprint)
	}
	if pass.Leave(end) {
		n.sendSuspects([]uint64{fingerprint})
	}
	return reply, err
}

// bodyPrefix returns the beginning of the body of a call that goes into its
// fingerprint, or nil if the body is not buffered.
func bodyPrefix(call *calls.Call) []byte {
	body, ok := call.Body.(*calls.Buffered)
	if !ok {
		return nil
	}
	return body.Prefix(poison.PrefixBytes)
}

// handleCrash reports the calls that were in flight when the given instance of the
// upstream crashed to the quarantine and to the other daemons of the service. Calls that
// were answered lately are no suspects: an upstream that crashes for another reason always
// has some of a request in flight that many callers send.
func (n *Node) handleCrash(instance string) {
	present, suspects := n.inFlight.takeSuspects(n.clock.Now(), n.answered)
	if instance == "" || present == 0 {
		return
	}
	service := n.settings.Service
	n.log.Info("upstream crashed", "id", instance, "calls", present, "suspects", len(suspects))
	if len(suspects) == 0 {
		return
	}
	n.quarantine.RecordCrash(service, poison.CrashID(n.settings.Host, service, instance), suspects)
	n.sendSuspects(suspects)
	n.queueQuarantined(n.quarantine.ReportFor(service, suspects))
}

// sendSuspects sends the quarantine's records of the given fingerprints to the other
// daemons of the service.
func (n *Node) sendSuspects(fingerprints []uint64) {
	report := n.quarantine.ReportFor(n.settings.Service, fingerprints)
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

// recordUpstreamFailure records what a failed call shows about the upstream.
func (n *Node) recordUpstreamFailure(call *calls.Call, reason calls.Reason) {
	switch {
	case reason == calls.ReasonUpstreamLost:
		n.requestProbe()
	case reason == calls.ReasonFenced && call.Ordered:
		n.mu.Lock()
		if n.machine != nil {
			n.machine.RecordNotHeld(call.Point)
		}
		n.mu.Unlock()
		n.requestReconcile()
	}
}
