// Package core decides which member owns which slots. A Machine is the pure
// decision code of one member: it takes typed inputs with a clock reading and
// returns typed actions. It does no input or output, starts no goroutine and
// reads no clock, so that the daemon, the unit tests and the model check run
// the same code.
//
// # Usage
//
//	m := core.New(self, core.WithTimings(core.DefaultTimings()))
//	for _, action := range m.Step(clock.Now(), core.Tick{}) {
//		perform(action)
//	}
//
// The caller passes in the records in offset order, from the first that the
// stream still holds, then CaughtUp, and a Tick several times within each
// renewal interval. A grant to an upstream must end no later than
// View.LeaseLeft allows. A member whose lease has expired, or that is fenced,
// serves no requests from then on, remains a witness for a while and ends with
// a Halt. The caller then makes a new machine under a new incarnation and
// passes settings, upstream and stream to it again.
package core
