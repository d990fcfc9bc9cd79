package hotkey

import "sync"

// countersPerSlot is the number of keys that are counted for each slot. Any key
// with more than 1/countersPerSlot of the slot's requests is among them.
const countersPerSlot = 8

// counter counts the requests of one key. The count exceeds the true one by at
// most maxError.
type counter struct {
	hash     uint64
	count    float32
	maxError float32
}

// sketch is the space-saving summary of one slot. Counts are in requests and
// decay over time.
type sketch struct {
	mu    sync.Mutex
	total float64
	used  int
	keys  [countersPerSlot]counter
}

// record counts one request for a key.
func (s *sketch) record(hash uint64) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.total++
	smallest := 0
	for i := range s.used {
		if s.keys[i].hash == hash {
			s.keys[i].count++
			return
		}
		if s.keys[i].count < s.keys[smallest].count {
			smallest = i
		}
	}
	if s.used < countersPerSlot {
		s.keys[s.used] = counter{hash: hash, count: 1}
		s.used++
		return
	}
	// The new key replaces the one with the smallest count and inherits that
	// count, since it may have been requested up to that often before.
	k := &s.keys[smallest]
	*k = counter{hash: hash, count: k.count + 1, maxError: k.count}
}

// decay multiplies all counts by factor.
func (s *sketch) decay(factor float64) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.total *= factor
	for i := range s.used {
		s.keys[i].count *= float32(factor)
		s.keys[i].maxError *= float32(factor)
	}
}

// sum returns the decayed count of all requests of the slot.
func (s *sketch) sum() float64 {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.total
}

// top returns the key with the highest guaranteed count (its count without
// maxError), that count, and the count of all requests of the slot.
func (s *sketch) top() (hash uint64, guaranteed, total float64) {
	s.mu.Lock()
	defer s.mu.Unlock()
	for i := range s.used {
		if c := float64(s.keys[i].count - s.keys[i].maxError); c > guaranteed {
			hash, guaranteed = s.keys[i].hash, c
		}
	}
	return hash, guaranteed, s.total
}
