// Package listen provides an HTTP server with graceful shutdown that aborts no
// request: connections in the accept queue are served although the listener is
// closed, a connection with an active request is closed only after the answer, and
// idle connections are kept open for their idle timeout, at most until the shutdown.
//
// # Usage
//
//	server, err := listen.Serve("10.0.0.9:8080", handler, listen.WithLogger(log))
//	server.DisableKeepAlives() // answers have Connection: close from now on
//	err = server.Drain(ctx)   // accepts no more connections, waits for requests
package listen
