package caller

import (
	"errors"
	"io"
	"math"
	"net/http"
	"strconv"

	"github.com/uber-go/tally/v4"

	"github.com/monsoonmoor/monsoonmoor/calls"
)

// errBodyLimit is the error of a body of unknown length that grew too large.
var errBodyLimit = errors.New("request body exceeds the service's limit")

// limitedBody fails once more than left bytes were read.
type limitedBody struct {
	body io.Reader
	left int64
}

// Read implements io.Reader.
func (l *limitedBody) Read(p []byte) (int, error) {
	n, err := l.body.Read(p)
	l.left -= int64(n)
	if l.left < 0 {
		return 0, errBodyLimit
	}
	return n, err
}

// counters counts answers by outcome.
type counters struct {
	answered, notRun, unknown, aborted tally.Counter
}

func newCounters(scope tally.Scope) counters {
	return counters{
		answered: scope.Counter("caller_answered"),
		notRun:   scope.Counter("caller_not_run"),
		unknown:  scope.Counter("caller_unknown"),
		aborted:  scope.Counter("caller_aborted"),
	}
}

// refuse answers a request that has no answer from an upstream.
func (h *Handler) refuse(w http.ResponseWriter, id string, e *calls.Error) {
	if e.Outcome() == calls.NotRun {
		h.counts.notRun.Inc(1)
	} else {
		h.counts.unknown.Inc(1)
	}
	h.log.V(1).Info("refused", "request", id, "outcome", e.Outcome().String(), "reason", string(e.Reason()))
	header := w.Header()
	header[calls.HeaderRequest] = []string{id}
	header[calls.HeaderOutcome] = []string{e.Outcome().String()}
	header[calls.HeaderReason] = []string{string(e.Reason())}
	if after := e.RetryAfter(); after > 0 {
		header.Set("Retry-After", strconv.Itoa(int(math.Ceil(after.Seconds()))))
	}
	header.Set("Content-Type", "text/plain; charset=utf-8")
	w.WriteHeader(e.Reason().Status(e.Outcome()))
	_, _ = io.WriteString(w, e.Outcome().String()+": "+string(e.Reason())+"\n")
}

// answer writes an upstream's answer. It aborts the connection when the
// answer is cut, so that no part passes for the whole.
func (h *Handler) answer(w http.ResponseWriter, call *calls.Call, reply *calls.Reply) {
	defer func() { _ = reply.Body.Close() }()
	header := w.Header()
	for name, values := range calls.EndToEnd(reply.Header) {
		header[name] = values
	}
	header[calls.HeaderRequest] = []string{call.ID}
	header[calls.HeaderOutcome] = []string{calls.Answered.String()}
	if owner := reply.Header.Get(calls.HeaderOwner); owner != "" {
		header[calls.HeaderOwner] = []string{owner}
	} else if h.host != "" {
		header[calls.HeaderOwner] = []string{string(h.host)}
	}
	if reply.Replayed {
		header[calls.HeaderReplayed] = []string{"yes"}
	}
	if reply.Length >= 0 && hasBody(call.Method, reply.Status) {
		header["Content-Length"] = []string{strconv.FormatInt(reply.Length, 10)}
	}
	w.WriteHeader(reply.Status)
	if hasBody(call.Method, reply.Status) {
		h.copyBody(w, call, reply)
	}
	h.counts.answered.Inc(1)
}

// copyBody sends the body through a pooled buffer.
func (h *Handler) copyBody(w http.ResponseWriter, call *calls.Call, reply *calls.Reply) {
	if reply.Length == 0 {
		return
	}
	buf, _ := h.buffers.Get().(*[copyBuffer]byte)
	defer h.buffers.Put(buf)
	n, err := copyFlushing(w, reply.Body, buf[:], reply.Length < 0)
	if err == nil && reply.Length >= 0 && n != reply.Length {
		err = calls.ErrCut
	}
	if err != nil {
		h.counts.aborted.Inc(1)
		h.log.V(1).Info("answer cut", "request", call.ID, "sent", n, "error", err.Error())
		panic(http.ErrAbortHandler)
	}
}

// copyFlushing copies src to w; flush sends each part on at once, for answers
// whose length is not known.
func copyFlushing(w http.ResponseWriter, src io.Reader, buf []byte, flush bool) (int64, error) {
	flusher, _ := w.(http.Flusher)
	var sent int64
	for {
		n, err := src.Read(buf)
		if n > 0 {
			m, writeErr := w.Write(buf[:n])
			sent += int64(m)
			if writeErr != nil {
				return sent, writeErr
			}
			if flush && flusher != nil {
				flusher.Flush()
			}
		}
		if errors.Is(err, io.EOF) {
			return sent, nil
		}
		if err != nil {
			return sent, err
		}
	}
}

// hasBody reports whether an answer to the method with the status carries a
// body.
func hasBody(method string, status int) bool {
	return method != http.MethodHead && status >= http.StatusOK &&
		status != http.StatusNoContent && status != http.StatusNotModified
}
