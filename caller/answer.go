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

// errBodyTooLarge is returned when a request body of unknown length exceeds the
// service's limit.
var errBodyTooLarge = errors.New("request body exceeds the service's limit")

// limitedBody is a request body whose reads fail with errBodyTooLarge once more
// than remaining bytes have been read.
type limitedBody struct {
	body      io.Reader
	remaining int64
}

// Read implements io.Reader.
func (l *limitedBody) Read(p []byte) (int, error) {
	n, err := l.body.Read(p)
	l.remaining -= int64(n)
	if l.remaining < 0 {
		return 0, errBodyTooLarge
	}
	return n, err
}

// counters holds the metrics that count answers by outcome.
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

// writeRefusal writes the outcome and the reason of a request that has no answer
// from an upstream.
func (h *Handler) writeRefusal(w http.ResponseWriter, id string, e *calls.Error) {
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

// writeReply writes an upstream's answer. It aborts the connection when the
// upstream's body is truncated, so that the caller can't mistake a partial answer
// for a complete one.
func (h *Handler) writeReply(w http.ResponseWriter, call *calls.Call, reply *calls.Reply) {
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

// copyBody copies the answer's body to the caller through a pooled buffer. It
// panics with http.ErrAbortHandler, which aborts the connection, when the copy fails
// or the body is shorter or longer than its Content-Length.
func (h *Handler) copyBody(w http.ResponseWriter, call *calls.Call, reply *calls.Reply) {
	if reply.Length == 0 {
		return
	}
	buf, _ := h.buffers.Get().(*[copyBufferSize]byte)
	defer h.buffers.Put(buf)
	n, err := copyFlushing(w, reply.Body, buf[:], reply.Length < 0)
	if err == nil && reply.Length >= 0 && n != reply.Length {
		err = calls.ErrBodyLength
	}
	if err != nil {
		h.counts.aborted.Inc(1)
		h.log.V(1).Info("answer cut", "request", call.ID, "sent", n, "error", err.Error())
		panic(http.ErrAbortHandler)
	}
}

// copyFlushing copies src to w and returns the number of bytes written. With flush
// set it flushes w after each write, so that data of an answer of unknown length
// is not held back in a buffer.
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

// hasBody reports whether HTTP allows a body in an answer with the given status to
// a request with the given method.
func hasBody(method string, status int) bool {
	return method != http.MethodHead && status >= http.StatusOK &&
		status != http.StatusNoContent && status != http.StatusNotModified
}
