// Package mesh runs the daemon beside one upstream of a fleet. Durable state is
// kept in a store of keyed topics. The package connects the components: gossip and
// leases between daemons, the ownership tables, the upstream's heartbeats, admission
// control, and the request path.
//
// The protocols of callers, upstreams, operators and the store are left to adapters:
// a store.Port, an upconn.Dialect, a ConfigSource, and the handlers that call the
// node's methods.
//
// # Usage
//
//	node, err := mesh.New(settings, mesh.Ports{Store: port, Dialect: dialect, Config: source})
//	reply, err := node.Run(ctx, call)
//	grant, err := node.Heartbeat(ctx, heartbeat)
//	err = node.Stop(ctx)
package mesh
