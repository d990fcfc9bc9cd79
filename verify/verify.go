package verify

import (
	"cmp"
	"fmt"
	"net/http"
	"slices"

	"github.com/monsoonmoor/monsoonmoor/calls"
	"github.com/monsoonmoor/monsoonmoor/ident"
)

// All runs every check. A nil result means that no violation was found.
func All(execs []Execution, attempts []Attempt) []Violation {
	return slices.Concat(Owners(execs), Once(execs), NotRun(execs, attempts), Answers(execs, attempts))
}

// Owners checks that each epoch of a shard ran on one host only, and that no
// host ran a shard under an epoch below one that another host had run it
// under before. Requests without a key belong to no shard.
func Owners(execs []Execution) []Violation {
	var found []Violation
	shards := make(map[ident.Shard][]Execution)
	for _, e := range execs {
		switch {
		case e.Key == "":
		case e.Epoch == 0:
			found = append(found, Violation{RuleOwner, e.Request, fmt.Sprintf("key %s ran at %s without a token", e.Key, e.Host)})
		default:
			shards[e.Shard()] = append(shards[e.Shard()], e)
		}
	}
	for _, shard := range sortedShards(shards) {
		found = append(found, shardOwners(shard, shards[shard])...)
	}
	return found
}

func sortedShards(m map[ident.Shard][]Execution) []ident.Shard {
	list := make([]ident.Shard, 0, len(m))
	for shard := range m {
		list = append(list, shard)
	}
	slices.SortFunc(list, func(a, b ident.Shard) int {
		return cmp.Or(cmp.Compare(a.Service, b.Service), cmp.Compare(a.Slot, b.Slot))
	})
	return list
}

// shardOwners checks the executions of one shard in the order of time.
func shardOwners(shard ident.Shard, execs []Execution) []Violation {
	slices.SortStableFunc(execs, func(a, b Execution) int { return cmp.Compare(a.Wall, b.Wall) })
	var found []Violation
	owners := make(map[ident.Epoch]ident.Host)
	highest := make(map[ident.Host]ident.Epoch)
	for _, e := range execs {
		if owner, ok := owners[e.Epoch]; ok && owner != e.Host {
			found = append(found, Violation{RuleOwner, shard.String(),
				fmt.Sprintf("epoch %d ran at %s and at %s (request %s)", e.Epoch, owner, e.Host, e.Request)})
		}
		for host, epoch := range highest {
			if host != e.Host && epoch > e.Epoch {
				found = append(found, Violation{RuleOwner, shard.String(),
					fmt.Sprintf("%s ran epoch %d after %s had run epoch %d (request %s)", e.Host, e.Epoch, host, epoch, e.Request)})
			}
		}
		owners[e.Epoch] = e.Host
		highest[e.Host] = max(highest[e.Host], e.Epoch)
	}
	return found
}

// Once checks that no idempotency key was executed twice, reads exempt, and
// no single request whose method is not idempotent.
func Once(execs []Execution) []Violation {
	var found []Violation
	type use struct {
		service ident.Service
		kind    string
		id      string
	}
	first := make(map[use]Execution)
	check := func(u use, e Execution) {
		if u.id == "" {
			return
		}
		if before, ok := first[u]; ok {
			found = append(found, Violation{RuleOnce, u.id, fmt.Sprintf("%s ran at %s (request %s) and again at %s (request %s)",
				u.kind, before.Host, before.Request, e.Host, e.Request)})
			return
		}
		first[u] = e
	}
	for _, e := range execs {
		if e.Method == http.MethodGet || e.Method == http.MethodHead {
			continue
		}
		check(use{e.Service, "idempotency key", e.Idempotency}, e)
		if call := (&calls.Call{Method: e.Method}); !call.IsIdempotent() {
			check(use{e.Service, "request", e.Request}, e)
		}
	}
	return found
}

// NotRun checks that no request ran whose caller was told that it did not.
func NotRun(execs []Execution, attempts []Attempt) []Violation {
	ran := byRequest(execs)
	var found []Violation
	for _, a := range attempts {
		if a.Outcome != calls.NotRun.String() && a.Outcome != OutcomeNotSent {
			continue
		}
		if e, ok := ran[a.Request]; ok {
			found = append(found, Violation{RuleNotRun, a.Request,
				fmt.Sprintf("told %s (%s) but ran at %s", a.Outcome, a.Reason, e.Host)})
		}
	}
	return found
}

// Answers checks that callers got whole answers of their own requests, and
// that what was answered did run.
func Answers(execs []Execution, attempts []Attempt) []Violation {
	ran := byRequest(execs)
	var found []Violation
	for _, a := range attempts {
		if a.Fault != "" {
			found = append(found, Violation{RuleAnswer, a.Request, a.Fault})
		}
		answered := a.Outcome == calls.Answered.String() && a.Status < http.StatusBadRequest && !a.Replayed
		if _, ok := ran[a.Request]; answered && !ok {
			found = append(found, Violation{RuleAnswer, a.Request, "answered but ran nowhere"})
		}
	}
	return found
}

func byRequest(execs []Execution) map[string]Execution {
	m := make(map[string]Execution, len(execs))
	for _, e := range execs {
		if e.Request != "" {
			m[e.Request] = e
		}
	}
	return m
}
