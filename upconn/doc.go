// Package upconn runs calls at the upstream beside the daemon over a pool of
// HTTP/1.1 connections, and tells apart what was answered, what certainly did not
// run and what may have run.
//
// Every answer is matched to its call. An answer that belongs to an earlier call
// is dropped and the next one on the connection read; a connection that carried
// anything unexpected is not used again. An answer is passed on only when it is
// whole: it is read to its end first, up to a bound.
//
// How calls and answers look on the wire is the Dialect's.
//
// # Usage
//
//	pool := upconn.New(addr, dialect, upconn.WithLogger(log))
//	reply, err := pool.Run(ctx, call, instance)
package upconn
