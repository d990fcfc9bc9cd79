// Package daemon joins the parts of one daemon: listeners, peers, the log, the
// decision code and the request path. Each duty has a goroutine of its own;
// bounded rings join them.
//
// # Usage
//
//	d, err := daemon.New(settings, daemon.WithLogger(log))
//	if err != nil {
//		return err
//	}
//	defer d.Close()
//	err = d.Drain(ctx)
package daemon
