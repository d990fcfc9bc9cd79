// Package upsim stands in for an upstream: a server with state by key that
// accepts fenced grants, has slots and connections, drains, starts cold, sheds
// load, honours deadlines and cancellation, and writes a history of what it
// executed.
//
// # Usage
//
//	up, err := upsim.Listen("127.0.0.1:0", upsim.Config{
//		Host: "dallas-1", Service: "rounds-desk", Daemon: "http://127.0.0.1:7102",
//		Slots: 20, Conns: 100, Checks: true,
//	}, upsim.WithHistory(file))
//	up.Drain(ctx)
//	up.Close()
package upsim
