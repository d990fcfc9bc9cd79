package upsim

import (
	"github.com/monsoonmoor/monsoonmoor/ident"
)

// Defaults of a Config.
const (
	DefaultSlots = 20
	DefaultConns = 100
)

// Config describes one upstream.
type Config struct {
	Host    ident.Host
	Service ident.Service
	// Daemon is the base URL of the upstream listener of the daemon beside it;
	// empty for an upstream that announces itself to nobody.
	Daemon string
	// Slots is the number of requests that run at once.
	Slots int
	// Conns is the number of connections that are taken.
	Conns int
	// Checks makes the upstream refuse requests outside its grants.
	Checks bool
	// Behaviour is in force from the start.
	Behaviour Behaviour
}

func (c Config) withDefaults() Config {
	if c.Slots == 0 {
		c.Slots = DefaultSlots
	}
	if c.Conns == 0 {
		c.Conns = DefaultConns
	}
	return c
}
