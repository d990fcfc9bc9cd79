// Package caller implements the HTTP endpoint for callers. It converts a request
// for /{service}/{rest...} into a calls.Call, executes it and writes the answer
// with its outcome. A truncated request or answer is never presented as
// complete: the connection is aborted instead.
//
// # Usage
//
//	handler := caller.New(router, services, caller.WithLogger(log))
//	server := caller.NewServer("127.0.0.1:8080", handler, caller.DefaultLimits())
//	err := server.ListenAndServe()
//
// # Keys
//
// The routing key is the value of the header Moor-Key. Without that header, the
// service's Rule extracts the key from the path, the query or another header. A
// GET of /.moor/key returns a new Idempotency-Key for callers whose clocks are
// not reliable.
//
// # Outcomes
//
// Every answer has the headers Moor-Request and Moor-Outcome, and Moor-Reason
// when the outcome is not "answered". Retry-After is set when a retry may succeed.
package caller
