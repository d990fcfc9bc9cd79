// Package report turns trials of a fleet into a report: how evenly load was
// shared out, how many slots moved for it, and for how long keys were
// unavailable. It writes text, JSON and one picture.
//
// # Usage
//
//	r := &report.Report{Trials: trials, Gaps: gaps}
//	err := r.WriteText(os.Stdout)
//	err = r.Save("out")
package report
