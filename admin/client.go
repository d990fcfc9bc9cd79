package admin

import (
	"bytes"
	"context"
	"encoding/json"
	"errors"
	"fmt"
	"io"
	"net/http"
	"net/url"
	"strings"
	"time"

	"golang.org/x/sync/errgroup"

	"github.com/monsoonmoor/monsoonmoor/events"
	"github.com/monsoonmoor/monsoonmoor/ident"
)

const (
	// DefaultTimeout bounds one request of a Client.
	DefaultTimeout = 5 * time.Second
	// maxParallel is the number of daemons asked at once.
	maxParallel = 32
	// maxAnswer is the largest answer read, in bytes.
	maxAnswer = 64 << 20
	// maxProblem is the largest error text read, in bytes.
	maxProblem = 4 << 10
)

// ClientOption sets a property of a Client.
type ClientOption func(*Client)

// WithBearer sends a token with every order.
func WithBearer(token string) ClientOption {
	return func(c *Client) { c.token = token }
}

// WithHTTP sets the HTTP client, and with it the time limits.
func WithHTTP(client *http.Client) ClientOption {
	return func(c *Client) { c.http = client }
}

// Client talks to the operators' listeners of daemons. Each method takes the
// base URL of a daemon.
type Client struct {
	http  *http.Client
	token string
}

// NewClient returns a client.
func NewClient(opts ...ClientOption) *Client {
	c := &Client{http: &http.Client{Timeout: DefaultTimeout}}
	for _, opt := range opts {
		opt(c)
	}
	return c
}

// Status returns what a daemon says of itself.
func (c *Client) Status(ctx context.Context, base string) (Status, error) {
	var status Status
	err := c.get(ctx, base, PathStatus, nil, &status)
	return status, err
}

// Events returns one daemon's events from number n onwards.
func (c *Client) Events(ctx context.Context, base string, n uint64, f *events.Filter) (events.Batch, error) {
	q := f.Query()
	if n > 0 {
		q.Set(paramNumber, fmt.Sprint(n))
	}
	var batch events.Batch
	err := c.get(ctx, base, PathTimeline, q, &batch)
	return batch, err
}

// Timeline is the merged time line of several daemons.
type Timeline struct {
	// Events are in causal order.
	Events []events.Event `json:"events"`
	// Missing lists the daemons that did not answer, in the order asked.
	Missing []Missing `json:"missing,omitempty"`
	// Lost counts events asked for that the daemons no longer hold.
	Lost uint64 `json:"lost,omitempty"`
}

// Missing is a daemon that did not answer.
type Missing struct {
	URL   string `json:"url"`
	Error string `json:"error"`
}

// Timeline asks all daemons at once and merges what they answer. It returns an
// error only if none answered.
func (c *Client) Timeline(ctx context.Context, bases []string, f *events.Filter) (Timeline, error) {
	batches := make([]events.Batch, len(bases))
	failures := make([]error, len(bases))
	var group errgroup.Group
	group.SetLimit(maxParallel)
	for i, base := range bases {
		group.Go(func() error {
			batches[i], failures[i] = c.Events(ctx, base, 0, f)
			return nil
		})
	}
	_ = group.Wait()
	line := Timeline{Events: events.Merge(batches)}
	for i, err := range failures {
		line.Lost += batches[i].Lost
		if err != nil {
			line.Missing = append(line.Missing, Missing{URL: bases[i], Error: err.Error()})
		}
	}
	if len(bases) > 0 && len(line.Missing) == len(bases) {
		return line, fmt.Errorf("time line: no daemon answered: %w", errors.Join(failures...))
	}
	return line, nil
}

// Quarantine lists a daemon's suspect and refused fingerprints.
func (c *Client) Quarantine(ctx context.Context, base string) ([]Quarantine, error) {
	var list []Quarantine
	err := c.get(ctx, base, PathQuarantine, nil, &list)
	return list, err
}

// Settings returns the settings in force at a daemon as JSON.
func (c *Client) Settings(ctx context.Context, base string) (json.RawMessage, error) {
	var settings json.RawMessage
	err := c.get(ctx, base, PathSettings, nil, &settings)
	return settings, err
}

// Table returns a snapshot of a daemon's table, as Source.WriteTable wrote it.
func (c *Client) Table(ctx context.Context, base string) ([]byte, error) {
	return c.do(ctx, http.MethodGet, base, PathTable, nil, nil)
}

// Metrics returns a daemon's metrics in the Prometheus text format.
func (c *Client) Metrics(ctx context.Context, base string) ([]byte, error) {
	return c.do(ctx, http.MethodGet, base, PathMetrics, nil, nil)
}

// Drain orders a daemon to give its slots away and leave.
func (c *Client) Drain(ctx context.Context, base string) error {
	_, err := c.do(ctx, http.MethodPost, base, PathDrain, nil, nil)
	return err
}

// Evict orders a daemon to append an operator's word that a member is gone.
func (c *Client) Evict(ctx context.Context, base string, of ident.Incarnation, operator string) error {
	body, err := json.Marshal(eviction{Member: of.String(), Operator: operator})
	if err != nil {
		return fmt.Errorf("encode order: %w", err)
	}
	_, err = c.do(ctx, http.MethodPost, base, PathEvict, nil, body)
	return err
}

// Lift orders a daemon to clear a quarantine entry.
func (c *Client) Lift(ctx context.Context, base string, service ident.Service, fingerprint string) error {
	q := url.Values{paramService: {string(service)}, paramFingerprint: {fingerprint}}
	_, err := c.do(ctx, http.MethodDelete, base, PathQuarantine, q, nil)
	return err
}

func (c *Client) get(ctx context.Context, base, path string, q url.Values, into any) error {
	data, err := c.do(ctx, http.MethodGet, base, path, q, nil)
	if err != nil {
		return err
	}
	if err := json.Unmarshal(data, into); err != nil {
		return fmt.Errorf("read answer of %s%s: %w", base, path, err)
	}
	return nil
}

// do returns the whole body of an answer. It returns ErrNotFound or ErrRefused
// where the daemon says so.
func (c *Client) do(ctx context.Context, method, base, path string, q url.Values, body []byte) ([]byte, error) {
	target := strings.TrimSuffix(base, "/") + path
	if len(q) > 0 {
		target += "?" + q.Encode()
	}
	r, err := http.NewRequestWithContext(ctx, method, target, bytes.NewReader(body))
	if err != nil {
		return nil, fmt.Errorf("ask %s: %w", base, err)
	}
	if c.token != "" && method != http.MethodGet {
		r.Header.Set("Authorization", "Bearer "+c.token)
	}
	answer, err := c.http.Do(r)
	if err != nil {
		return nil, fmt.Errorf("ask %s: %w", base, err)
	}
	defer func() { _ = answer.Body.Close() }()
	if answer.StatusCode >= http.StatusMultipleChoices {
		return nil, fmt.Errorf("ask %s%s: %w", base, path, problemOf(answer))
	}
	data, err := io.ReadAll(io.LimitReader(answer.Body, maxAnswer+1))
	if err != nil {
		return nil, fmt.Errorf("read answer of %s: %w", base, err)
	}
	if len(data) > maxAnswer {
		return nil, fmt.Errorf("read answer of %s: more than %d bytes", base, maxAnswer)
	}
	return data, nil
}

func problemOf(answer *http.Response) error {
	data, _ := io.ReadAll(io.LimitReader(answer.Body, maxProblem))
	var p problem
	if json.Unmarshal(data, &p) != nil || p.Error == "" {
		p.Error = answer.Status
	}
	switch answer.StatusCode {
	case http.StatusNotFound:
		return fmt.Errorf("%w (%s)", ErrNotFound, p.Error)
	case http.StatusConflict:
		return fmt.Errorf("%w (%s)", ErrRefused, p.Error)
	}
	return errors.New(p.Error)
}
