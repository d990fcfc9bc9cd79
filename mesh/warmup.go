package mesh

import "time"

// paceWarmup limits the calls that start at the upstream while it is cold, if the
// configuration says how many it bears.
func (n *Node) paceWarmup() {
	now := n.clock.Now()
	n.mu.Lock()
	warmAt, id := n.upstream.warmAt, n.upstream.id
	n.mu.Unlock()
	service, _ := n.Plan().Service(n.settings.Service)
	limit := warmupLimit(service.WarmupRate, n.settings.WarmupOverage)
	wasCold := n.gate.IsCold()
	n.gate.SetWarmup(limit, warmAt)
	left := max(0, warmAt.Sub(now))
	n.metrics.warmup.Update(left.Seconds())
	if cold := n.gate.IsCold(); cold != wasCold {
		n.log.Info("pace for a cold upstream changed", "id", id, "cold", cold, "limit", limit,
			"left", left.Round(time.Millisecond).String())
	}
}

// warmupLimit returns the number of calls that may start in a second at a cold upstream
// that bears the given rate and may get overage times as many; 0 stands for no limit.
func warmupLimit(rate, overage float64) int {
	if rate <= 0 {
		return 0
	}
	return max(1, int(rate*max(1, overage)))
}
