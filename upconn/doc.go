// Package upconn sends calls to the upstream on the daemon's host over a pool of
// HTTP/1.1 connections. It distinguishes calls that were answered, calls that
// certainly did not run and calls that may have run.
//
// Every answer is matched to its call. An answer that belongs to an earlier call is
// discarded and the next one is read from the connection. A connection on which
// anything unexpected was received is not reused. An answer of up to 1 MiB is read
// to its end before it is returned, so that it is either complete or an error; a
// longer one is streamed.
//
// The Dialect defines the representation of calls and answers as HTTP messages.
//
// # Usage
//
//	pool := upconn.New(addr, dialect, upconn.WithLogger(log))
//	reply, err := pool.Run(ctx, call, instance)
package upconn
