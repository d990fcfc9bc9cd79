package load

import (
	"context"
	"encoding/json"
	"fmt"
	"io"
	"net/http"
	"net/http/httptrace"
	"strconv"
	"strings"
	"time"

	"github.com/cespare/xxhash/v2"

	"github.com/monsoonmoor/monsoonmoor/calls"
	"github.com/monsoonmoor/monsoonmoor/upsim"
	"github.com/monsoonmoor/monsoonmoor/verify"
)

// maxAnswer bounds an answer other than a photo, in bytes.
const maxAnswer = 1 << 20

// send makes the request and fills in what came of it.
func (c *caller) send(ctx context.Context, k *call, a *verify.Attempt, left time.Duration) {
	connected := false
	ctx = httptrace.WithClientTrace(ctx, &httptrace.ClientTrace{
		GotConn: func(httptrace.GotConnInfo) { connected = true },
	})
	req, err := c.request(ctx, k, a, left)
	if err != nil {
		a.Reason = reasonConnect
		return
	}
	resp, err := c.client.Do(req)
	if err != nil {
		a.Outcome, a.Reason = calls.Unknown.String(), reasonLost
		if !connected {
			a.Outcome, a.Reason = verify.OutcomeNotSent, reasonConnect
		}
		return
	}
	defer func() { _ = resp.Body.Close() }()
	readHead(a, resp)
	if a.Outcome == calls.Answered.String() {
		err = c.readBody(k, a, resp)
	} else {
		_, err = io.Copy(io.Discard, io.LimitReader(resp.Body, maxAnswer))
	}
	if err != nil && a.Outcome == calls.Answered.String() {
		a.Outcome, a.Reason = calls.Unknown.String(), reasonCut
	}
}

func (c *caller) request(ctx context.Context, k *call, a *verify.Attempt, left time.Duration) (*http.Request, error) {
	var body io.Reader
	switch k.kind {
	case kindWrite:
		body = strings.NewReader(k.id)
	case kindPhotoUp:
		body = upsim.NewPhoto(k.id, c.cfg.PhotoBytes)
	case kindRead, kindPhotoDown:
	}
	req, err := http.NewRequestWithContext(ctx, a.Method, c.url(k, a.Target), body)
	if err != nil {
		return nil, fmt.Errorf("make request: %w", err)
	}
	if k.kind == kindPhotoUp {
		req.ContentLength = c.cfg.PhotoBytes
		req.GetBody = func() (io.ReadCloser, error) {
			return io.NopCloser(upsim.NewPhoto(k.id, c.cfg.PhotoBytes)), nil
		}
	}
	req.Header.Set(calls.HeaderKey, k.key)
	req.Header.Set(calls.HeaderRequest, a.Request)
	req.Header.Set(calls.HeaderTimeout, strconv.FormatInt(max(1, left.Milliseconds()), 10))
	if a.Idempotency != "" {
		req.Header.Set(calls.HeaderIdempotency, a.Idempotency)
	}
	return req, nil
}

// readHead takes the outcome from the answer's headers. An upstream that is
// asked directly sends none; its status and Moor-Ran tell then.
func readHead(a *verify.Attempt, resp *http.Response) {
	a.Status = resp.StatusCode
	a.Reason = resp.Header.Get(calls.HeaderReason)
	a.Replayed = resp.Header.Get(calls.HeaderReplayed) != ""
	a.Owner = resp.Header.Get(calls.HeaderOwner)
	if a.Owner == "" {
		a.Owner = resp.Header.Get(upsim.HeaderHost)
	}
	a.Outcome = resp.Header.Get(calls.HeaderOutcome)
	if id := resp.Header.Get(calls.HeaderRequest); id != "" && !a.Replayed {
		a.Request = id
	}
	if a.Outcome != "" {
		return
	}
	switch {
	case resp.StatusCode < http.StatusBadRequest:
		a.Outcome = calls.Answered.String()
	case resp.Header.Get(calls.HeaderRan) == "no":
		a.Outcome, a.Reason = calls.NotRun.String(), reasonStatus
	default:
		a.Outcome, a.Reason = calls.Unknown.String(), reasonStatus
	}
}

// readBody checks that the answer is whole and belongs to the call.
func (c *caller) readBody(k *call, a *verify.Attempt, resp *http.Response) error {
	if k.kind == kindPhotoDown {
		return c.readPhoto(a, resp)
	}
	data, err := io.ReadAll(io.LimitReader(resp.Body, maxAnswer))
	if err != nil {
		return fmt.Errorf("read answer: %w", err)
	}
	if resp.StatusCode >= http.StatusBadRequest {
		return nil
	}
	a.Fault = c.fault(k, a, data)
	return nil
}

// fault says what shows that an answer is not the call's own.
func (c *caller) fault(k *call, a *verify.Attempt, data []byte) string {
	var ans upsim.Answer
	err := json.Unmarshal(data, &ans)
	a.Counter = ans.Counter
	switch {
	case err != nil:
		return "answer cannot be read: " + err.Error()
	case ans.Key != k.key:
		return fmt.Sprintf("answer of key %q", ans.Key)
	case k.kind == kindWrite && ans.Value != k.id:
		return fmt.Sprintf("answer of call %q", ans.Value)
	case !a.Replayed && ans.Request != a.Request:
		return fmt.Sprintf("answer of request %q", ans.Request)
	case k.kind == kindPhotoUp && ans.Bytes != c.cfg.PhotoBytes:
		return fmt.Sprintf("photo of %d bytes", ans.Bytes)
	case k.kind == kindPhotoUp && ans.Sum != sumOf(upsim.NewPhoto(k.id, c.cfg.PhotoBytes)):
		return "photo changed on its way up"
	}
	return ""
}

func sumOf(r io.Reader) string {
	sum := xxhash.New()
	if _, err := io.Copy(sum, r); err != nil {
		return ""
	}
	return strconv.FormatUint(sum.Sum64(), 16)
}

func (c *caller) readPhoto(a *verify.Attempt, resp *http.Response) error {
	sum := xxhash.New()
	n, err := io.Copy(sum, resp.Body)
	if err != nil {
		return fmt.Errorf("read photo: %w", err)
	}
	if resp.StatusCode >= http.StatusBadRequest {
		return nil
	}
	switch {
	case n != c.cfg.PhotoBytes:
		a.Fault = fmt.Sprintf("photo of %d bytes", n)
	case strconv.FormatUint(sum.Sum64(), 16) != resp.Header.Get(upsim.HeaderSum):
		a.Fault = "photo changed on its way down"
	}
	return nil
}
