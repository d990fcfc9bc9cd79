// Package lease holds the leases of members that own keys. A member renews its
// lease with a few other daemons, its witnesses, and holds it while a majority
// of them has promised not to vote against it. Nobody needs the platform's log
// for that, so a member goes on serving while the log is away.
//
// A witness that has not heard from a member for a whole lease may vote it
// expired, and never renews for it again. A majority of such votes proves that
// the lease has ended, since any two majorities share a witness.
//
// Both sides are pure: they are given the time and keep no goroutine.
//
// # Usage
//
//	holder := lease.NewHolder(terms)
//	holder.Name(witnesses)
//	holder.Renewed(witness, sentAt)
//	if now.Before(holder.Until()) {
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
