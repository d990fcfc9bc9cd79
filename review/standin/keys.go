package main

import (
	"encoding/json"
	"net/http"
	"strconv"
	"sync"
	"time"
)

// keySpace is the number of keys of a service that is divided by key.
const keySpace = 65536

// keyRow is a range of keys with its generation number.
type keyRow struct {
	from, to uint32
	fence    uint64
}

// keyHolder holds the keys of one life of an endpoint.
type keyHolder struct {
	mu    sync.Mutex
	rows  []keyRow
	until time.Time
	// seen is the highest generation number of each key.
	seen [keySpace]uint64
	// released lists the rows that were released since the last acknowledged ping.
	released []any
	tokens   int
}

// lists returns the lists of a ping: what is held, and what was released.
func (k *keyHolder) lists() (holds, released []any) {
	k.mu.Lock()
	defer k.mu.Unlock()
	if time.Now().After(k.until) {
		k.rows = nil
	}
	holds = []any{}
	for _, r := range k.rows {
		holds = append(holds, []any{r.from, r.to, r.fence})
	}
	return holds, append([]any{}, k.released...)
}

// apply takes the answer to a ping that was sent at the given time and carried the given
// number of released rows. It reports whether rows were released, so that another ping is
// due soon.
func (k *keyHolder) apply(data []byte, sent time.Time, acknowledged int) bool {
	var answer struct {
		Holds    *[][]any `json:"holds"`
		HoldTime string   `json:"hold_time"`
	}
	if err := json.Unmarshal(data, &answer); err != nil {
		return false
	}
	k.mu.Lock()
	defer k.mu.Unlock()
	k.released = k.released[acknowledged:]
	hold, err := time.ParseDuration(answer.HoldTime)
	if answer.Holds == nil || (err != nil && len(*answer.Holds) > 0) {
		return false
	}
	var rows []keyRow
	for _, a := range *answer.Holds {
		if len(a) != 4 {
			continue
		}
		from, _ := a[0].(float64)
		to, _ := a[1].(float64)
		fence, _ := a[2].(float64)
		row := keyRow{from: uint32(from), to: uint32(to), fence: uint64(fence)}
		if k.accepts(row) {
			rows = append(rows, row)
		}
	}
	before := k.rows
	if time.Now().After(k.until) {
		before = nil
	}
	k.rows, k.until = rows, sent.Add(hold)
	return k.release(before)
}

// accepts takes note of a row's generation number, unless a higher one was seen on one of
// its keys. It is called with mu held.
func (k *keyHolder) accepts(row keyRow) bool {
	for p := row.from; p <= row.to && p < keySpace; p++ {
		if k.seen[p] > row.fence {
			return false
		}
	}
	for p := row.from; p <= row.to && p < keySpace; p++ {
		k.seen[p] = row.fence
	}
	return true
}

// release adds what is no longer held to the released rows. It is called with mu held.
func (k *keyHolder) release(before []keyRow) bool {
	found := false
	for _, old := range before {
		for p := old.from; p <= old.to; p++ {
			if k.holdsLocked(p) {
				continue
			}
			from := p
			for p < old.to && !k.holdsLocked(p+1) {
				p++
			}
			k.tokens++
			k.released = append(k.released, []any{from, p, "h" + strconv.Itoa(k.tokens)})
			found = true
		}
	}
	return found
}

func (k *keyHolder) holdsLocked(key uint32) bool {
	for _, r := range k.rows {
		if key >= r.from && key <= r.to {
			return true
		}
	}
	return false
}

// holdsKey reports whether a key, as the request names it, is held.
func (k *keyHolder) holdsKey(text string) bool {
	key, err := strconv.ParseUint(text, 10, 16)
	k.mu.Lock()
	defer k.mu.Unlock()
	return err == nil && time.Now().Before(k.until) && k.holdsLocked(uint32(key))
}

// refuseKey answers a request whose key isn't held.
func refuseKey(w http.ResponseWriter) {
	w.Header().Set("X-Not-Executed", "1")
	w.WriteHeader(http.StatusMisdirectedRequest)
}
