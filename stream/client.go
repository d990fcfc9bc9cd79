package stream

import (
	"bytes"
	"context"
	"encoding/json"
	"fmt"
	"io"
	"net/http"
	"net/http/httptrace"
	"net/url"
	"strconv"
	"sync"
	"time"

	"github.com/ThreeDotsLabs/watermill/message"
)

// maxAnswer bounds what is read of an answer that is not a batch, in bytes.
const maxAnswer = 4 << 10

// Client reaches the log over HTTP. It implements message.Publisher and
// message.Subscriber.
type Client struct {
	base   string
	opts   options
	http   *http.Client
	ctx    context.Context
	cancel context.CancelFunc

	mu     sync.Mutex
	closed bool
	wg     sync.WaitGroup
}

// Dial returns a client of the log at baseURL. It connects on first use.
func Dial(baseURL string, opts ...Option) *Client {
	c := &Client{base: baseURL, opts: newOptions(opts)}
	if c.opts.transport == nil {
		c.opts.transport = &http.Transport{
			MaxIdleConnsPerHost: 4,
			IdleConnTimeout:     time.Minute,
			DisableCompression:  true,
		}
	}
	c.http = &http.Client{Transport: c.opts.transport}
	c.ctx, c.cancel = context.WithCancel(context.Background())
	return c
}

// Publish appends messages to a topic, one after the other, and sets the
// metadata "offset" of each that was appended. The error of the first that
// was not matches ErrUnknown, ErrRefused, ErrOutage, ErrTooLarge or ErrClosed.
func (c *Client) Publish(topic string, messages ...*message.Message) error {
	for _, msg := range messages {
		offset, err := c.append(msg.Context(), topic, msg.Payload)
		if err != nil {
			return fmt.Errorf("append to %q: %w", topic, err)
		}
		msg.Metadata.Set(MetaOffset, strconv.FormatUint(offset, 10))
	}
	return nil
}

func (c *Client) append(ctx context.Context, topic string, data []byte) (uint64, error) {
	if len(data) > MaxRecord {
		return 0, fmt.Errorf("%w: %d bytes, at most %d allowed", ErrTooLarge, len(data), MaxRecord)
	}
	if c.ctx.Err() != nil {
		return 0, ErrClosed
	}
	ctx, cancel := context.WithTimeout(ctx, c.opts.timeout)
	defer cancel()
	defer context.AfterFunc(c.ctx, cancel)()

	// Until a connection is there, no byte of the record can have left.
	connected := false
	ctx = httptrace.WithClientTrace(ctx, &httptrace.ClientTrace{
		GotConn: func(httptrace.GotConnInfo) { connected = true },
	})
	req, err := http.NewRequestWithContext(ctx, http.MethodPost, c.url(topic), bytes.NewReader(data))
	if err != nil {
		return 0, fmt.Errorf("%w: make request: %w", ErrOutage, err)
	}
	resp, err := c.http.Do(req)
	if err != nil {
		c.distrust()
		if connected {
			return 0, fmt.Errorf("%w: %w", ErrUnknown, err)
		}
		return 0, fmt.Errorf("%w: %w", ErrOutage, err)
	}
	defer func() { _ = resp.Body.Close() }()
	return readAppended(resp)
}

func readAppended(resp *http.Response) (uint64, error) {
	body, err := io.ReadAll(io.LimitReader(resp.Body, maxAnswer))
	if err != nil && resp.StatusCode == http.StatusOK {
		return 0, fmt.Errorf("%w: read answer: %w", ErrUnknown, err)
	}
	switch resp.StatusCode {
	case http.StatusOK:
		var a Appended
		if err := json.Unmarshal(body, &a); err != nil {
			return 0, fmt.Errorf("%w: decode answer: %w", ErrUnknown, err)
		}
		return a.Offset, nil
	case http.StatusRequestEntityTooLarge:
		return 0, ErrTooLarge
	case http.StatusServiceUnavailable:
		return 0, fmt.Errorf("%w: status %d", ErrOutage, resp.StatusCode)
	case http.StatusTooManyRequests:
		return 0, newRefused(body)
	}
	if resp.StatusCode >= http.StatusInternalServerError {
		return 0, fmt.Errorf("%w: status %d", ErrUnknown, resp.StatusCode)
	}
	return 0, fmt.Errorf("status %d: %w", resp.StatusCode, &RefusedError{})
}

func newRefused(body []byte) *RefusedError {
	var r Refused
	if err := json.Unmarshal(body, &r); err != nil {
		return &RefusedError{}
	}
	return &RefusedError{after: time.Duration(r.Millis) * time.Millisecond}
}

// Subscribe reads a topic from the offset given by From. Each message must be
// acknowledged before the next is delivered. The channel is closed when ctx
// ends or the client is closed.
func (c *Client) Subscribe(ctx context.Context, topic string) (<-chan *message.Message, error) {
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.closed {
		return nil, fmt.Errorf("subscribe to %q: %w", topic, ErrClosed)
	}
	ctx, cancel := context.WithCancel(ctx)
	stop := context.AfterFunc(c.ctx, cancel)
	r := newReader(c, topic, fromOf(ctx, c.opts.from))
	c.wg.Go(func() {
		defer cancel()
		defer stop()
		r.run(ctx)
	})
	return r.out, nil
}

// Close ends all subscriptions and appends.
func (c *Client) Close() error {
	c.mu.Lock()
	c.closed = true
	c.mu.Unlock()
	c.cancel()
	c.wg.Wait()
	c.http.CloseIdleConnections()
	return nil
}

// distrust drops idle connections after a failure: they may be silent too,
// and each would cost another timeout to find out.
func (c *Client) distrust() {
	c.http.CloseIdleConnections()
}

func (c *Client) url(topic string) string {
	return c.base + "/streams/" + url.PathEscape(topic)
}
