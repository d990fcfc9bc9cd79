// Package mesh runs the daemon beside one upstream of a fleet that keeps what
// must last in a store of keyed topics. It joins the parts: gossip and leases
// between daemons, the ownership tables, the upstream's heartbeats, admission,
// and the request path.
//
// How callers, upstreams, operators and the store speak is left to ports: the
// store.Port, the upconn.Dialect, the Config, and the handlers that the adapter
// serves with the node's methods.
//
// # Usage
//
//	node, err := mesh.New(settings, mesh.Ports{Store: port, Dialect: dialect, Config: config})
//	reply, err := node.Run(ctx, call)
//	grant, err := node.Heartbeat(ctx, heartbeat)
//	err = node.Stop(ctx)
package mesh
