// Package owner decides what a daemon does about the keys of its upstream's
// service: when it becomes a member, how it keeps its lease, what the upstream is
// granted, which keys it gives away or takes over, and what is written to the
// ownership table.
//
// Machine is pure: it is given the time, heartbeats, messages and versions of the
// table, and returns messages and proposals for the next version. A proposal is
// written under the condition that the table still has the version that it
// follows from; a lost race costs nothing but the attempt.
//
// # Rules
//
//   - A member grants keys to its upstream only while it holds its lease, and for
//     no longer than that. It becomes a member, or names other witnesses, only
//     when a majority of the new witnesses has renewed its lease already.
//   - A member's keys are taken over only with votes of a majority of its
//     witnesses that the lease has ended, and the upstream's grants with it.
//   - A planned move first takes the keys out of the grants, waits until the
//     upstream no longer holds them, and then writes the new owner together with
//     what the upstream handed over.
//   - Members ask one of them, the scribe, to write their handovers, joins and
//     departures together; one that is not answered writes itself. A request counts
//     only while the table names the same run of the member, and its ranges have the
//     fencing tokens that the member has read. A member never grants again what it
//     asked to hand over.
//   - A daemon that starts beside an upstream that still holds keys goes on with
//     them, under the same fencing tokens, if the table still names its host.
//   - The fencing tokens of one version of the table lie above those of all
//     versions before it. A new life of an upstream that the same daemon saw end
//     gets the next token of the same version.
//
// # Usage
//
//	m := owner.New(lease, "events", owner.WithTerms(terms))
//	m.Read(now, table)
//	m.Heartbeat(now, heartbeat)
//	grant := m.Grant(now)
//	actions := m.Tick(now, fleet)
package owner
