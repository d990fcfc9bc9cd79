package store

import (
	"context"
	"time"

	"github.com/go-logr/logr"
)

// Debug is a Port that logs every call and its result.
type Debug struct {
	inner Port
	log   logr.Logger
}

var _ Port = (*Debug)(nil)

// NewDebug returns a Port that passes every call on to inner and logs it.
func NewDebug(inner Port, log logr.Logger) *Debug { return &Debug{inner: inner, log: log} }

// Put implements Port.
func (d *Debug) Put(ctx context.Context, w Write) (uint64, error) {
	offset, err := d.inner.Put(ctx, w)
	d.log.Info("store put", "topic", w.Topic, "key", w.Key, "bytes", len(w.Value), "at", w.At, "offset", offset, "err", err)
	return offset, err
}

// Newest implements Port.
func (d *Debug) Newest(ctx context.Context, topic string) (Snapshot, error) {
	s, err := d.inner.Newest(ctx, topic)
	d.log.Info("store newest", "topic", topic, "items", len(s.Items), "end", s.End, "err", err)
	return s, err
}

// Read implements Port.
func (d *Debug) Read(ctx context.Context, topic string, from uint64, wait time.Duration) (Page, error) {
	p, err := d.inner.Read(ctx, topic, from, wait)
	d.log.Info("store read", "topic", topic, "from", from, "items", len(p.Items), "end", p.End, "err", err)
	return p, err
}
