package mesh

import "slices"

// Apply installs the settings that can change while the node runs: the seeds and the
// retry budget. It returns the names of the fields that were applied, and of the
// changed fields that need a restart. Invalid settings change nothing; the error wraps
// ErrSettings.
func (n *Node) Apply(s Settings) (applied, restart []string, err error) {
	if err := s.check(); err != nil {
		return nil, nil, err
	}
	n.mu.Lock()
	defer n.mu.Unlock()
	old := n.applied
	if !slices.Equal(old.Seeds, s.Seeds) {
		n.seed(n.clock.Now(), s.Seeds)
		applied = append(applied, "seeds")
	}
	if old.RetryRatio != s.RetryRatio || old.RetrySlack != s.RetrySlack {
		n.budget.SetLimits(s.RetryRatio, s.RetrySlack)
		applied = append(applied, "retry")
	}
	for _, field := range []struct {
		name    string
		changed bool
	}{
		{"host", old.Host != s.Host},
		{"zone", old.Zone != s.Zone},
		{"service", old.Service != s.Service},
		{"upstream", old.Upstream != s.Upstream},
		{"peers", old.PeerAddr != s.PeerAddr},
		{"interval", old.Interval != s.Interval},
		{"hold", old.MaxGrant != s.MaxGrant},
		{"grants", old.GrantsByCall != s.GrantsByCall},
		{"drain", old.Drain != s.Drain},
		{"window", old.RetryWindow != s.RetryWindow},
	} {
		if field.changed {
			restart = append(restart, field.name)
		}
	}
	n.applied = s
	return applied, restart, nil
}
