// Package poison detects poison requests, which crash every upstream that runs
// them, and blocks them before they reach further upstreams.
//
// Requests are identified by their fingerprints. Every request in flight at a
// crash becomes a suspect. Each upstream then runs at most one suspect at a time,
// concurrently with other requests, so at the next crash only one suspect is in
// flight, and a harmless suspect is cleared as soon as it is answered. A
// fingerprint that was present at two crashes, and at one of them was the only
// suspect, is blocked: its requests are refused until the entry expires or an
// operator lifts it.
//
// # Usage
//
//	fingerprint := poison.Fingerprint(call, prefix)
//	pass, err := quarantine.Enter(ctx, call.Service, fingerprint)
//	if err != nil {
//		return err // a *calls.Error with the reason "quarantine"
//	}
//	defer pass.Leave(poison.Completed)
//
// If suspects must not wait for each other, WithCrashThreshold selects another
// rule: a request is blocked once it was present at the given number of crashes and was
// not answered between them. Answered remembers the requests that were answered lately,
// which the caller of RecordCrash leaves out as innocent.
//
// Daemons exchange their suspects: Report and ReportFor return what to send to
// peers, and Merge applies what a peer has sent.
package poison
