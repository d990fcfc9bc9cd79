// Package owner decides which keys of a service a daemon and its upstream own.
// It covers joining and leaving the ownership table, renewing the lease, granting
// keys to the upstream, moving keys to other members, taking over the keys of lost
// members, and proposing new versions of the table.
//
// Machine does no input or output. Its caller passes in the time, heartbeats,
// messages and versions of the table; the machine returns messages and proposals
// for the next version. A proposal is written on the condition that the table
// still has the version that the proposal is based on, so a member that loses
// the race only has to try again.
//
// # Rules
//
//   - A member grants keys to its upstream only while it holds its lease, and no
//     grant outlasts the lease. A daemon becomes a member, or names other
//     witnesses, only after all of the new witnesses have renewed its lease.
//   - The keys of a member are taken over only after a majority of its witnesses
//     has voted that its lease has ended. The grants of its upstream have then
//     ended as well.
//   - A planned move first removes the keys from the grants, waits until the
//     upstream no longer holds them, and then writes the new owner together with
//     the handover token of the upstream.
//   - Members send their handovers, joins and departures to one of them, the
//     designated writer, which writes them together. A member that gets no answer
//     writes its changes itself. A request is valid only while the table names the
//     same run of the member and its ranges have the fencing tokens that the member
//     has read. A member never grants a range again after it has asked to hand it
//     over.
//   - A daemon that starts while its upstream still holds keys resumes them under
//     the same fencing tokens, if the table still names its host as their owner.
//   - After the store came back from an older copy, the newest known table is written
//     again, and no range gets another owner until all leases of the earlier era have
//     ended. A range is granted under a token of an earlier era only if its member
//     certainly owned it until then.
//   - The fencing tokens of one version of the table are higher than those of all
//     earlier versions. When a daemon sees its upstream end, the next life of the
//     upstream (the next run of its process) gets the next token of the same
//     version.
//
// # Usage
//
//	m := owner.New(self, "events", now, owner.WithTerms(terms))
//	m.Read(now, table)
//	m.Heartbeat(now, heartbeat)
//	grant := m.Grant(now)
//	actions := m.Tick(now, fleet)
package owner
