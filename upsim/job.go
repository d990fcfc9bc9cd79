package upsim

import (
	"fmt"
	"net/http"
	"net/url"
	"strconv"
	"time"

	"github.com/go-chi/chi/v5"

	"github.com/monsoonmoor/monsoonmoor/calls"
	"github.com/monsoonmoor/monsoonmoor/ident"
)

// Headers by which a request tells the upstream how to behave. Each may also
// be given as the query parameter named beside it.
const (
	// HeaderTime asks for a service time, such as "5ms" (time).
	HeaderTime = "Sim-Time"
	// HeaderEffect set to "first" gives the request its effect before its
	// service time instead of after it (effect).
	HeaderEffect = "Sim-Effect"
	// HeaderPoison set to "yes" crashes the upstream (poison).
	HeaderPoison = "Sim-Poison"
)

// Headers of answers.
const (
	// HeaderHost names the upstream's host.
	HeaderHost = "Sim-Host"
	// HeaderCounter is the key's counter.
	HeaderCounter = "Sim-Counter"
	// HeaderEpoch is the epoch that the request ran under.
	HeaderEpoch = "Sim-Epoch"
	// HeaderSum is the xxhash of a photo, in hexadecimal.
	HeaderSum = "Sim-Sum"
)

// job is one request as the upstream runs it.
type job struct {
	method      string
	key         string
	request     string
	idempotency string
	fenced      bool
	slot        ident.Slot
	epoch       ident.Epoch
	// deadline is the time left; zero when there is none.
	deadline time.Duration
	// asked is the service time asked for; negative when there is none.
	asked  time.Duration
	first  bool
	poison bool
	body   []byte
	// photo is the size in bytes of the photo asked for.
	photo int64
}

func newJob(r *http.Request) (*job, error) {
	j := &job{
		method:      r.Method,
		request:     r.Header.Get(calls.HeaderRequest),
		idempotency: r.Header.Get(calls.HeaderIdempotency),
		asked:       -1,
		first:       order(r, HeaderEffect, "effect") == "first",
		poison:      order(r, HeaderPoison, "poison") != "",
	}
	var err error
	if j.key, err = keyOf(r); err != nil {
		return nil, err
	}
	if s := order(r, HeaderTime, "time"); s != "" {
		if j.asked, err = time.ParseDuration(s); err != nil || j.asked < 0 {
			return nil, fmt.Errorf("service time %q: want a duration", s)
		}
	}
	if s := r.URL.Query().Get("bytes"); s != "" {
		if j.photo, err = strconv.ParseInt(s, 10, 64); err != nil || j.photo < 0 || j.photo > MaxPhoto {
			return nil, fmt.Errorf("bytes %q: want a size of at most %d", s, MaxPhoto)
		}
	}
	if s := r.Header.Get(calls.HeaderDeadline); s != "" {
		ms, err := strconv.ParseInt(s, 10, 64)
		if err != nil || ms <= 0 {
			return nil, fmt.Errorf("deadline %q: want milliseconds", s)
		}
		j.deadline = time.Duration(ms) * time.Millisecond
	}
	return j, j.parseToken(r.Header)
}

func (j *job) parseToken(h http.Header) error {
	slot, epoch := h.Get(calls.HeaderSlot), h.Get(calls.HeaderEpoch)
	if slot == "" || epoch == "" {
		return nil
	}
	n, err := strconv.ParseUint(slot, 10, 32)
	if err != nil {
		return fmt.Errorf("parse slot: %w", err)
	}
	e, err := strconv.ParseUint(epoch, 10, 64)
	if err != nil {
		return fmt.Errorf("parse epoch: %w", err)
	}
	j.slot, j.epoch, j.fenced = ident.Slot(n), ident.Epoch(e), true
	return nil
}

// writes reports whether the request changes its key.
func (j *job) writes() bool {
	return j.method == http.MethodPost || j.method == http.MethodPut
}

// maxKey bounds a key in bytes.
const maxKey = 1 << 10

func keyOf(r *http.Request) (string, error) {
	key := r.Header.Get(calls.HeaderKey)
	if key == "" {
		var err error
		if key, err = url.PathUnescape(chi.URLParam(r, "key")); err != nil {
			return "", fmt.Errorf("parse key: %w", err)
		}
	}
	if len(key) > maxKey {
		return "", fmt.Errorf("key of %d bytes, at most %d allowed", len(key), maxKey)
	}
	return key, nil
}

func order(r *http.Request, header, query string) string {
	if s := r.Header.Get(header); s != "" {
		return s
	}
	return r.URL.Query().Get(query)
}
