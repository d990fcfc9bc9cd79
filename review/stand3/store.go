package main

import (
	"encoding/base64"
	"encoding/binary"
	"encoding/json"
	"io"
	"net"
	"net/http"
	"strconv"
	"sync"
	"time"
)

// store is a stand-in of the platform's store: a log with keyed topics of one partition.
type store struct {
	addr string

	mu     sync.Mutex
	topics map[string]*topic
}

// topic is the log of one topic. Newest holds the offset of each key's newest record.
type topic struct {
	records [][]byte
	newest  map[string]int
	keys    []string
	changed chan struct{}
}

// startStore serves an empty store on a free port of loopback.
func startStore() *store {
	l, err := net.Listen("tcp4", "127.0.0.1:0")
	must(err)
	s := &store{addr: l.Addr().String(), topics: map[string]*topic{}}
	mux := http.NewServeMux()
	mux.HandleFunc("POST /log-append", s.serveAppend)
	mux.HandleFunc("GET /log-read", s.serveRead)
	mux.HandleFunc("GET /log-newest", s.serveNewest)
	go func() { _ = http.Serve(l, mux) }()
	return s
}

// topic returns a topic, which is created on first use. It is called with mu held.
func (s *store) topic(name string) *topic {
	t := s.topics[name]
	if t == nil {
		t = &topic{newest: map[string]int{}, changed: make(chan struct{})}
		s.topics[name] = t
	}
	return t
}

// put appends a record. It is called with mu held.
func (t *topic) put(record []byte) {
	key := string(record[1 : 1+record[0]])
	if _, ok := t.newest[key]; !ok {
		t.keys = append(t.keys, key)
	}
	t.newest[key] = len(t.records)
	t.records = append(t.records, record)
	close(t.changed)
	t.changed = make(chan struct{})
}

// write writes a record as the operator does.
func (s *store) write(name, key string, value []byte) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.topic(name).put(append(append([]byte{byte(len(key))}, key...), value...))
}

func (s *store) serveAppend(w http.ResponseWriter, r *http.Request) {
	body, err := io.ReadAll(r.Body)
	if err != nil {
		return
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	t := s.topic(r.URL.Query().Get("topic"))
	if at := r.URL.Query().Get("at"); at != "" && at != strconv.Itoa(len(t.records)) {
		reply(w, http.StatusPreconditionFailed, map[string]any{"end": len(t.records)})
		return
	}
	first := len(t.records)
	for len(body) >= 4 {
		n := int(binary.BigEndian.Uint32(body))
		t.put(body[4 : 4+n])
		body = body[4+n:]
	}
	reply(w, http.StatusOK, map[string]any{"offset": first, "end": len(t.records)})
}

func (s *store) serveRead(w http.ResponseWriter, r *http.Request) {
	from, _ := strconv.Atoi(r.URL.Query().Get("from"))
	wait, _ := strconv.Atoi(r.URL.Query().Get("wait_ms"))
	until := time.After(time.Duration(wait) * time.Millisecond)
	for {
		s.mu.Lock()
		t := s.topic(r.URL.Query().Get("topic"))
		changed, end := t.changed, len(t.records)
		data := binary.BigEndian.AppendUint64(nil, uint64(end))
		data = binary.BigEndian.AppendUint64(data, 0)
		for _, record := range t.records[min(from, end):] {
			data = binary.BigEndian.AppendUint32(data, uint32(len(record)))
			data = append(data, record...)
		}
		s.mu.Unlock()
		if end > from {
			_, _ = w.Write(data)
			return
		}
		select {
		case <-changed:
		case <-until:
			_, _ = w.Write(data)
			return
		case <-r.Context().Done():
			return
		}
	}
}

func (s *store) serveNewest(w http.ResponseWriter, r *http.Request) {
	s.mu.Lock()
	defer s.mu.Unlock()
	t := s.topic(r.URL.Query().Get("topic"))
	items := []any{}
	for _, key := range t.keys {
		record := t.records[t.newest[key]]
		if value := record[1+len(key):]; len(value) > 0 {
			items = append(items, map[string]any{
				"key": key, "value": base64.StdEncoding.EncodeToString(value), "offset": t.newest[key],
			})
		}
	}
	reply(w, http.StatusOK, map[string]any{"items": items, "has_more": false, "end": len(t.records)})
}

// reply writes a JSON answer.
func reply(w http.ResponseWriter, status int, value any) {
	data, err := json.Marshal(value)
	must(err)
	w.Header().Set("Content-Type", "application/json")
	w.WriteHeader(status)
	_, _ = w.Write(data)
}
