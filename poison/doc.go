// Package poison finds the request that crashes each upstream that runs it,
// and keeps it from further upstreams.
//
// A request is known by its fingerprint. All requests in flight at a crash are
// suspects. Suspects then run one at a time at each upstream, beside other
// requests: so at a further crash only one of them is in flight, and an
// innocent one is cleared as soon as it is answered. A fingerprint that was
// present at two crashes, and was the only suspect at the last one, is
// refused until its entry expires or an operator lifts it.
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
// Where suspects must not wait for each other, WithEnough replaces the turns: a
// request is then refused once it was present at that many crashes and was not
// answered between them.
//
// Reports of peers come in by Merge, those for peers go out by Report.
package poison
