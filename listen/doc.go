// Package listen serves HTTP on an address and ends without cutting a request
// short: connections that wait in the accept queue are served although the listener
// closes, a connection with a request is closed only after its answer, and idle
// connections stay for as long as callers may use them, until the server ends.
//
// # Usage
//
//	server, err := listen.Serve("10.0.0.9:8080", handler, listen.WithLogger(log))
//	server.Part()             // answers now ask for new connections
//	err = server.Drain(ctx)   // no more connections, requests end
package listen
