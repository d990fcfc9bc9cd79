// Package lease implements the leases under which members own keys. A member
// renews its lease with a few other daemons, its witnesses, and holds the lease
// while a majority of them is bound by a promise not to vote against it.
// Renewal does not use the platform's log, so a member keeps serving while the
// log is unavailable.
//
// A witness that has received no renewal from a member for the length of a
// lease plus the clock drift may vote that the lease has expired; it then never
// renews for that member again. A majority of such votes proves that the lease
// has ended, since any two majorities share a witness.
//
// Holder and Witness are deterministic: the caller passes in the time, and
// neither starts a goroutine.
//
// # Usage
//
//	holder := lease.NewHolder(terms)
//	holder.SetWitnesses(witnesses)
//	holder.RecordRenewal(witness, sentAt)
//	if now.Before(holder.Expiry()) {
//		grant()
//	}
//
//	witness := lease.NewWitness(self, terms, now)
//	if witness.Renew(now, owner) {
//		acknowledge()
//	}
//	if witness.Vote(now, owner, named) {
//		vote()
//	}
package lease
