package sched

import "time"

// warmupWindow is the sliding window in which the starts at a cold upstream are counted.
const warmupWindow = time.Second

// warmup limits the calls that start at an upstream while it is cold: at most limit in
// any warmupWindow. The starts are counted at all times, since an upstream may become
// cold at any moment and the calls that it got just before count as well.
type warmup struct {
	// limit is 0 if the upstream needs no limit.
	limit int
	until time.Time
	// starts are the times of the starts within the last window, oldest first.
	starts []time.Time
}

// record counts a start.
func (w *warmup) record(now time.Time) {
	if w.limit > 0 {
		w.prune(now)
		w.starts = append(w.starts, now)
	}
}

// prune removes the starts that have left the window.
func (w *warmup) prune(now time.Time) {
	i := 0
	for i < len(w.starts) && now.Sub(w.starts[i]) >= warmupWindow {
		i++
	}
	w.starts = append(w.starts[:0], w.starts[i:]...)
}

// active reports whether starts are limited now.
func (w *warmup) active(now time.Time) bool { return w.limit > 0 && now.Before(w.until) }

// delay returns how long a call has to wait for its start if the given number of calls
// start before it.
func (w *warmup) delay(now time.Time, ahead int) time.Duration {
	if !w.active(now) {
		return 0
	}
	w.prune(now)
	// A call starts when the call that started limit calls before it leaves the window.
	i := len(w.starts) + ahead - w.limit
	if i < 0 {
		return 0
	}
	delay := warmupWindow
	if i < len(w.starts) {
		delay = w.starts[i].Add(warmupWindow).Sub(now)
	} else {
		delay += warmupWindow * time.Duration(i-len(w.starts)) / time.Duration(w.limit)
	}
	return min(delay, w.until.Sub(now))
}
