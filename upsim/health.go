package upsim

import (
	"encoding/json"
	"net/http"
	"sync"
	"time"
)

// Health answers GET /health and GET /load.
type Health struct {
	OK     bool  `json:"ok"`
	Busy   int64 `json:"busy"`
	Slots  int   `json:"slots"`
	Served int64 `json:"served"`
}

// health serves the endpoints that can lag or lie.
type health struct {
	server *server

	mu    sync.Mutex
	shown Health
	at    time.Time
}

func newHealth(s *server) *health {
	return &health{server: s}
}

// show returns the state as the endpoints claim it.
func (h *health) show() Health {
	b := h.server.current()
	slots := h.server.state.cfg.Slots
	if b.HealthLies {
		return Health{OK: true, Slots: slots}
	}
	h.mu.Lock()
	defer h.mu.Unlock()
	now := h.server.clock.Now()
	if h.at.IsZero() || now.Sub(h.at) >= b.HealthLag {
		busy := h.server.busy.Load()
		h.shown = Health{OK: busy < int64(slots), Busy: busy, Slots: slots, Served: h.server.served.Load()}
		h.at = now
	}
	return h.shown
}

func (h *health) serveHealth(w http.ResponseWriter, _ *http.Request) {
	shown := h.show()
	status := http.StatusOK
	if !shown.OK {
		status = http.StatusServiceUnavailable
	}
	writeJSON(w, status, shown)
}

func (h *health) serveLoad(w http.ResponseWriter, _ *http.Request) {
	writeJSON(w, http.StatusOK, h.show())
}

func writeJSON(w http.ResponseWriter, status int, v any) {
	data, err := json.Marshal(v)
	if err != nil {
		http.Error(w, err.Error(), http.StatusInternalServerError)
		return
	}
	w.Header().Set("Content-Type", "application/json")
	w.WriteHeader(status)
	if _, err := w.Write(data); err != nil {
		return
	}
}
