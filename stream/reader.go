package stream

import (
	"context"
	"encoding/json"
	"errors"
	"fmt"
	"io"
	"net/http"
	"strconv"

	"github.com/ThreeDotsLabs/watermill/message"
	"github.com/fxamacker/cbor/v2"
	"github.com/uber-go/tally/v4"
)

// maxBatch bounds the encoded size of a read in bytes.
const maxBatch = 4 << 20

// reader follows one topic for one subscription.
type reader struct {
	client  *Client
	topic   string
	next    uint64
	out     chan *message.Message
	known   bool
	up      bool
	backoff *backoff
	records tally.Counter
	bytes   tally.Counter
	gaps    tally.Counter
}

func newReader(c *Client, topic string, from uint64) *reader {
	scope := c.opts.scope.Tagged(map[string]string{"topic": topic})
	return &reader{
		client:  c,
		topic:   topic,
		next:    from,
		out:     make(chan *message.Message),
		backoff: newBackoff(c.opts),
		records: scope.Counter("log_read_records"),
		bytes:   scope.Counter("log_read_bytes"),
		gaps:    scope.Counter("log_read_gaps"),
	}
}

func (r *reader) run(ctx context.Context) {
	defer close(r.out)
	for ctx.Err() == nil {
		batch, err := r.fetch(ctx)
		var gap *GapError
		switch {
		case errors.As(err, &gap):
			r.report(nil)
			r.skip(ctx, gap.First)
		case err != nil && ctx.Err() == nil:
			r.report(err)
			sleep(ctx, r.client.opts.clock, r.backoff.next(), nil)
		case err == nil:
			r.report(nil)
			r.deliver(ctx, batch)
		}
	}
}

// skip tells the subscriber of a gap and goes on behind it.
func (r *reader) skip(ctx context.Context, first uint64) {
	r.gaps.Inc(1)
	r.client.opts.log.Info("log gap", "topic", r.topic, "wanted", r.next, "first", first)
	if deliver(ctx, r.out, newMark(MetaGap, first)) {
		r.next = first
	}
}

func (r *reader) deliver(ctx context.Context, batch Batch) {
	for _, rec := range batch.Records {
		if !deliver(ctx, r.out, newMessage(rec)) {
			return
		}
		r.records.Inc(1)
		r.bytes.Inc(int64(len(rec.Data)))
		r.next = rec.Offset + 1
	}
	if r.next == 0 {
		r.next = batch.First
	}
	if r.next == batch.Next {
		deliver(ctx, r.out, newMark(MetaEnd, batch.Next))
	}
}

// report calls the state callback when the state has changed.
func (r *reader) report(err error) {
	up := err == nil
	if up {
		r.backoff.reset()
	}
	if r.known && r.up == up {
		return
	}
	r.known, r.up = true, up
	r.client.opts.log.Info("log state", "topic", r.topic, "up", up, "error", err)
	r.client.opts.state(State{Topic: r.topic, Up: up, Err: err})
}

func (r *reader) fetch(ctx context.Context) (Batch, error) {
	o := r.client.opts
	ctx, cancel := context.WithTimeout(ctx, o.wait+o.timeout)
	defer cancel()
	url := fmt.Sprintf("%s?from=%d&wait=%s&max=%d", r.client.url(r.topic), r.next, o.wait, o.batch)
	req, err := http.NewRequestWithContext(ctx, http.MethodGet, url, nil)
	if err != nil {
		return Batch{}, fmt.Errorf("make request: %w", err)
	}
	resp, err := r.client.http.Do(req)
	if err != nil {
		r.client.distrust()
		return Batch{}, fmt.Errorf("read %q: %w", r.topic, err)
	}
	defer func() { _ = resp.Body.Close() }()
	body, err := io.ReadAll(io.LimitReader(resp.Body, maxBatch))
	if err != nil {
		return Batch{}, fmt.Errorf("read %q: %w", r.topic, err)
	}
	return r.decode(resp.StatusCode, body)
}

func (r *reader) decode(status int, body []byte) (Batch, error) {
	switch status {
	case http.StatusOK:
	case http.StatusGone:
		var g Gone
		if err := json.Unmarshal(body, &g); err != nil {
			return Batch{}, fmt.Errorf("decode gap of %q: %w", r.topic, err)
		}
		return Batch{}, &GapError{First: g.First}
	default:
		return Batch{}, fmt.Errorf("read %q: status %d", r.topic, status)
	}
	var batch Batch
	if err := cbor.Unmarshal(body, &batch); err != nil {
		return Batch{}, fmt.Errorf("decode batch of %q: %w", r.topic, err)
	}
	return batch, r.check(batch)
}

// check refuses a batch that does not continue what was read.
func (r *reader) check(batch Batch) error {
	if r.next > batch.Next {
		return fmt.Errorf("read %q: stream ends at %d, read up to %d before", r.topic, batch.Next, r.next)
	}
	want := max(r.next, batch.First)
	for _, rec := range batch.Records {
		if rec.Offset != want {
			return fmt.Errorf("read %q: offset %d where %d was due", r.topic, rec.Offset, want)
		}
		want++
	}
	return nil
}

func newMessage(rec Record) *message.Message {
	offset := strconv.FormatUint(rec.Offset, 10)
	msg := message.NewMessage(offset, rec.Data)
	msg.Metadata.Set(MetaOffset, offset)
	msg.Metadata.Set(MetaAt, strconv.FormatInt(rec.At, 10))
	return msg
}

func newMark(key string, offset uint64) *message.Message {
	msg := message.NewMessage("", nil)
	msg.Metadata.Set(key, strconv.FormatUint(offset, 10))
	return msg
}

// deliver hands a message over until it is acknowledged. It reports false
// when ctx ended first.
func deliver(ctx context.Context, out chan<- *message.Message, msg *message.Message) bool {
	for {
		msg.SetContext(ctx)
		select {
		case out <- msg:
		case <-ctx.Done():
			return false
		}
		select {
		case <-msg.Acked():
			return true
		case <-msg.Nacked():
			msg = msg.Copy()
		case <-ctx.Done():
			return false
		}
	}
}
