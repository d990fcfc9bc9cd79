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

// platformStore is a stand-in for the platform's store: keyed topics with one
// partition, conditional appends, long reads and the newest record of each key.
type platformStore struct {
	addr   string
	server *http.Server

	mu      sync.Mutex
	topics  map[string]*topic
	changed chan struct{}
}

type topic struct {
	records [][]byte
	newest  map[string]int
}

func startStore() (*platformStore, error) {
	l, err := net.Listen("tcp4", loopbackIP()+":0")
	if err != nil {
		return nil, err
	}
	s := &platformStore{addr: l.Addr().String(), topics: make(map[string]*topic), changed: make(chan struct{})}
	mux := http.NewServeMux()
	mux.HandleFunc("POST /log-append", s.serveAppend)
	mux.HandleFunc("GET /log-read", s.serveRead)
	mux.HandleFunc("GET /log-newest", s.serveNewest)
	s.server = &http.Server{Handler: mux}
	go func() { _ = s.server.Serve(l) }()
	return s, nil
}

// topic returns a topic. It is called with mu held.
func (s *platformStore) topic(name string) *topic {
	t, ok := s.topics[name]
	if !ok {
		t = &topic{newest: make(map[string]int)}
		s.topics[name] = t
	}
	return t
}

// add appends a record. It is called with mu held.
func (s *platformStore) add(t *topic, record []byte) {
	key := string(record[1 : 1+record[0]])
	t.newest[key] = len(t.records)
	t.records = append(t.records, record)
	close(s.changed)
	s.changed = make(chan struct{})
}

// put writes a key on behalf of the operator.
func (s *platformStore) put(name, key string, value []byte) {
	record := append([]byte{byte(len(key))}, key...)
	record = append(record, value...)
	s.mu.Lock()
	defer s.mu.Unlock()
	s.add(s.topic(name), record)
}

func (s *platformStore) serveAppend(w http.ResponseWriter, r *http.Request) {
	data, err := io.ReadAll(r.Body)
	if err != nil {
		w.WriteHeader(http.StatusBadRequest)
		return
	}
	time.Sleep(4 * time.Millisecond)
	s.mu.Lock()
	defer s.mu.Unlock()
	t := s.topic(r.URL.Query().Get("topic"))
	if at := r.URL.Query().Get("at"); at != "" && at != strconv.Itoa(len(t.records)) {
		w.WriteHeader(http.StatusPreconditionFailed)
		_ = json.NewEncoder(w).Encode(map[string]int{"end": len(t.records)})
		return
	}
	offset := len(t.records)
	for len(data) >= 4 {
		n := int(binary.BigEndian.Uint32(data))
		s.add(t, data[4:4+n])
		data = data[4+n:]
	}
	_ = json.NewEncoder(w).Encode(map[string]int{"offset": offset, "end": len(t.records)})
}

func (s *platformStore) serveRead(w http.ResponseWriter, r *http.Request) {
	from, _ := strconv.Atoi(r.URL.Query().Get("from"))
	wait, _ := strconv.Atoi(r.URL.Query().Get("wait_ms"))
	timeout := time.After(time.Duration(wait) * time.Millisecond)
	for waiting := true; ; {
		s.mu.Lock()
		t, changed := s.topic(r.URL.Query().Get("topic")), s.changed
		if len(t.records) > from || !waiting {
			data := make([]byte, 16)
			binary.BigEndian.PutUint64(data, uint64(len(t.records)))
			for i := from; i < len(t.records); i++ {
				data = binary.BigEndian.AppendUint32(data, uint32(len(t.records[i])))
				data = append(data, t.records[i]...)
			}
			s.mu.Unlock()
			_, _ = w.Write(data)
			return
		}
		s.mu.Unlock()
		select {
		case <-changed:
		case <-timeout:
			waiting = false
		case <-r.Context().Done():
			return
		}
	}
}

func (s *platformStore) serveNewest(w http.ResponseWriter, r *http.Request) {
	s.mu.Lock()
	defer s.mu.Unlock()
	t := s.topic(r.URL.Query().Get("topic"))
	items := []map[string]any{}
	for key, offset := range t.newest {
		record := t.records[offset]
		items = append(items, map[string]any{
			"key": key, "value": base64.StdEncoding.EncodeToString(record[1+record[0]:]), "offset": offset,
		})
	}
	_ = json.NewEncoder(w).Encode(map[string]any{"items": items, "has_more": false, "end": len(t.records)})
}
