package main

import (
	"encoding/binary"
	"encoding/json"
	"io"
	"net"
	"net/http"
	"strconv"
	"sync"
	"time"
)

// store is a stand-in for the platform's store: keyed topics of one partition, with
// conditional appends, long-poll reads and the newest record of each key. It can come back
// from an older copy of itself, as in the drill that DEMANDS.md describes.
type store struct {
	log      *record
	addr     string
	mu       sync.Mutex
	topics   map[string][]entry
	wake     chan struct{}
	era      int
	down     bool
	appendMS time.Duration
}

type entry struct {
	key   string
	value []byte
	at    time.Time
}

func newStore(log *record, ip string) *store {
	s := &store{log: log, topics: map[string][]entry{}, wake: make(chan struct{}), era: 1, appendMS: 4 * time.Millisecond}
	l, err := net.Listen("tcp4", ip+":0")
	must(err, "listen for the store")
	s.addr = l.Addr().String()
	server := &http.Server{Handler: s}
	go func() { _ = server.Serve(l) }()
	return s
}

// put appends a record of the operator.
func (s *store) put(topic, key string, value []byte) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.add(topic, entry{key: key, value: value})
}

func (s *store) add(topic string, e entry) int {
	e.at = time.Now()
	s.topics[topic] = append(s.topics[topic], e)
	close(s.wake)
	s.wake = make(chan struct{})
	return len(s.topics[topic]) - 1
}

// end returns the end offset of a topic.
func (s *store) end(topic string) int {
	s.mu.Lock()
	defer s.mu.Unlock()
	return len(s.topics[topic])
}

func (s *store) setDown(down bool) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.down = down
}

// copyTopics returns a copy of all that the store holds now.
func (s *store) copyTopics() map[string][]entry {
	s.mu.Lock()
	defer s.mu.Unlock()
	c := map[string][]entry{}
	for t, records := range s.topics {
		c[t] = append([]entry(nil), records...)
	}
	return c
}

// restore replaces the contents by a copy. What the operator has written since the copy
// was made (topic keyed.op) is written again.
func (s *store) restore(c map[string][]entry) {
	s.mu.Lock()
	defer s.mu.Unlock()
	lost := s.topics["keyed.op"]
	lost = lost[min(len(c["keyed.op"]), len(lost)):]
	s.topics = c
	s.era++
	for _, e := range lost {
		s.add("keyed.op", e)
	}
	close(s.wake)
	s.wake = make(chan struct{})
}

// ServeHTTP implements http.Handler.
func (s *store) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	body, err := io.ReadAll(r.Body)
	if err != nil {
		return
	}
	if r.URL.Path == "/log-append" {
		time.Sleep(s.appendMS)
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	w.Header().Set("Store-Era", strconv.Itoa(s.era))
	if s.down {
		w.WriteHeader(http.StatusServiceUnavailable)
		return
	}
	topic := r.URL.Query().Get("topic")
	switch r.URL.Path {
	case "/log-append":
		s.append(w, r, topic, body)
	case "/log-newest":
		s.newest(w, r, topic)
	case "/log-read":
		s.read(w, r, topic)
	default:
		w.WriteHeader(http.StatusNotFound)
	}
}

func (s *store) append(w http.ResponseWriter, r *http.Request, topic string, data []byte) {
	if len(data) < 5 || int(binary.BigEndian.Uint32(data)) != len(data)-4 || 1+int(data[4]) > len(data)-4 {
		w.WriteHeader(http.StatusBadRequest)
		return
	}
	rec := data[4:]
	key, value := string(rec[1:1+rec[0]]), rec[1+rec[0]:]
	if at := r.URL.Query().Get("at"); at != "" && at != strconv.Itoa(len(s.topics[topic])) {
		w.WriteHeader(http.StatusPreconditionFailed)
		writeJSON(w, map[string]any{"end": len(s.topics[topic])})
		return
	}
	offset := s.add(topic, entry{key: key, value: value})
	s.log.add("store era %d: %s offset %d written, key %s, %d bytes", s.era, topic, offset, key, len(value))
	writeJSON(w, map[string]any{"offset": offset, "end": offset + 1})
}

func (s *store) newest(w http.ResponseWriter, r *http.Request, topic string) {
	after := r.URL.Query().Get("after")
	type item struct {
		Key    string `json:"key"`
		Value  []byte `json:"value"`
		Offset int    `json:"offset"`
	}
	newest := map[string]item{}
	for i, e := range s.topics[topic] {
		newest[e.key] = item{e.key, e.value, i}
	}
	items := []item{}
	for _, it := range newest {
		if it.Key > after && len(it.Value) > 0 {
			items = append(items, it)
		}
	}
	writeJSON(w, map[string]any{"items": items, "has_more": false, "end": len(s.topics[topic])})
}

func (s *store) read(w http.ResponseWriter, r *http.Request, topic string) {
	from, err := strconv.Atoi(r.URL.Query().Get("from"))
	if err != nil {
		w.WriteHeader(http.StatusBadRequest)
		return
	}
	ms, _ := strconv.Atoi(r.URL.Query().Get("wait_ms"))
	until := time.NewTimer(time.Duration(ms) * time.Millisecond)
	defer until.Stop()
	era := s.era
	for len(s.topics[topic]) <= from && s.era == era && !s.down {
		wake := s.wake
		s.mu.Unlock()
		late := false
		select {
		case <-wake:
		case <-until.C:
			late = true
		case <-r.Context().Done():
			late = true
		}
		s.mu.Lock()
		if late {
			break
		}
	}
	w.Header().Set("Store-Era", strconv.Itoa(s.era))
	if s.down {
		w.WriteHeader(http.StatusServiceUnavailable)
		return
	}
	if from > len(s.topics[topic]) {
		w.WriteHeader(http.StatusGone)
		writeJSON(w, map[string]any{"first": 0})
		return
	}
	out := binary.BigEndian.AppendUint64(nil, uint64(len(s.topics[topic])))
	out = binary.BigEndian.AppendUint64(out, 0)
	for _, e := range s.topics[topic][from:] {
		out = binary.BigEndian.AppendUint32(out, uint32(1+len(e.key)+len(e.value)))
		out = append(out, byte(len(e.key)))
		out = append(append(out, e.key...), e.value...)
	}
	_, _ = w.Write(out)
}

func writeJSON(w http.ResponseWriter, v any) {
	data, err := json.Marshal(v)
	must(err, "encode")
	_, _ = w.Write(data)
}
