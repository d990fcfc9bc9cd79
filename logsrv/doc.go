// Package logsrv stands in for the platform's log service: append-only
// streams with offsets, long poll, a limited append rate and limited
// retention. On order it has outages, is slow, or loses answers after the
// write took effect. The protocol is in the documentation of package stream.
//
// # Usage
//
//	srv := logsrv.New(logsrv.WithRate(400), logsrv.WithControl())
//	http.Serve(listener, srv)
//	srv.SetFaults(logsrv.Faults{LoseEvery: 2})
//	offset, err := srv.Log().Append("ownership", data)
package logsrv
