package verify

import "fmt"

// Rule names the invariant that a violation breaks.
type Rule string

// Rules.
const (
	// RuleOwner says that one epoch of a shard belongs to one host, and that
	// epochs of a shard do not step back in time.
	RuleOwner Rule = "owner"
	// RuleOnce says that an idempotency key is executed at most once.
	RuleOnce Rule = "once"
	// RuleNotRun says that a request told "not-run" was not executed.
	RuleNotRun Rule = "not-run"
	// RuleAnswer says that a caller gets the whole answer to its own request,
	// and that an answered request was executed.
	RuleAnswer Rule = "answer"
)

// Violation is one broken invariant.
type Violation struct {
	Rule Rule `json:"rule"`
	// Subject is the shard, idempotency key or request concerned.
	Subject string `json:"subject"`
	Detail  string `json:"detail"`
}

// String returns the violation as one line.
func (v Violation) String() string {
	return fmt.Sprintf("%s: %s: %s", v.Rule, v.Subject, v.Detail)
}
