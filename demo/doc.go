// Package demo runs a whole fleet in one process: the stand-in log, the
// upstreams and daemons of two deployments, a short load and a summary. It is
// the main job with nothing to set up; the daemons are those of production.
//
// # Usage
//
//	fleet, err := demo.Start(demo.Deployments(), demo.WithLogger(log))
//	defer fleet.Close()
//	err = fleet.Settle(ctx)
package demo
