// Package upstrm executes calls at the upstream of the daemon's host: it checks
// that this member owns the call's key, admits the call, sends it over HTTP and
// reports its outcome.
//
// # Usage
//
//	executor := upstrm.New(source, upstrm.WithGate(gate), upstrm.WithJournal(journal))
//	executor.Attach(announcement)
//	reply, err := executor.Run(ctx, call)
//
// # Outcomes
//
// A call did not run when no byte of it was written to a connection, or when
// the upstream refused it with "Moor-Ran: no". Every other failure after that
// point has an unknown outcome. No call is sent twice. Ownership is checked
// before a call is sent, and again together with the lease before its answer is
// returned.
//
// A call whose caller disconnects is canceled at the upstream, unless its
// Idempotency-Key is journaled: then the call continues until its deadline, and
// the caller gets the recorded answer when it retries the call.
//
// # Upstreams that do not check fencing tokens
//
// A call to such an upstream that ended without an answer may still run there.
// Its shard counts as busy until the call's deadline has passed, so that the
// shard is not handed over earlier. A frozen upstream of this kind may act even
// later; only a check in the upstream itself can prevent that.
//
// # Silent connections
//
// When a connection transfers no data while a call waits on it, the executor
// probes the upstream over a new connection. If the probe is answered, the idle
// connections are closed, so that later calls use new ones. A call that waits
// past the hard timeout without data ends with an unknown outcome.
package upstrm
