package itest_test

import (
	"context"
	"errors"
	"fmt"
	"io"
	"net"
	"net/http"
	"testing"
	"time"

	qt "github.com/frankban/quicktest"

	"github.com/monsoonmoor/monsoonmoor/calls"
	"github.com/monsoonmoor/monsoonmoor/fault"
	"github.com/monsoonmoor/monsoonmoor/upsim"
)

const (
	// photoBytes is the size of a large answer, in bytes. It is more than the
	// kernel's buffers between upstream and caller can hold, up to 32 MiB at the
	// owner's daemon and 4 MiB at each sender, so that a part of it has not been
	// sent when its way breaks.
	photoBytes = upsim.MaxPhoto
	// photoPart is how much of it the caller has read when it is cut.
	photoPart = 2 << 20
	// photoBuffer is the size of the caller's own receive buffer, in bytes.
	photoBuffer = 64 << 10
)

// errDiffers says that bytes of a photo are not those that were sent.
var errDiffers = errors.New("photo differs")

// photo is a large answer that is being read.
type photo struct {
	key  string
	resp *http.Response
	want io.Reader
	read int64
}

// openPhoto asks for a photo and returns when its head has come.
func (h *host) openPhoto(key string) (*photo, error) {
	url := fmt.Sprintf("http://%s/%s/keys/%s/photo?bytes=%d", h.caller, service, key, photoBytes)
	req, err := http.NewRequest(http.MethodGet, url, nil)
	if err != nil {
		return nil, err
	}
	req.Header.Set(calls.HeaderKey, key)
	req.Header.Set(calls.HeaderTimeout, "8000")
	client := http.Client{Timeout: 12 * time.Second, Transport: &http.Transport{DisableKeepAlives: true, DialContext: dialSmall}}
	resp, err := client.Do(req)
	if err != nil {
		return nil, err
	}
	return &photo{key: key, resp: resp, want: upsim.NewPhoto(key, photoBytes)}, nil
}

// dialSmall opens a connection whose receive buffer does not grow.
func dialSmall(ctx context.Context, network, addr string) (net.Conn, error) {
	var dialer net.Dialer
	conn, err := dialer.DialContext(ctx, network, addr)
	if err != nil {
		return nil, err
	}
	if err := conn.(*net.TCPConn).SetReadBuffer(photoBuffer); err != nil {
		return nil, errors.Join(err, conn.Close())
	}
	return conn, nil
}

// take reads and compares up to n bytes. It returns io.EOF at a clean end.
func (p *photo) take(n int64) error {
	got, want := make([]byte, 64<<10), make([]byte, 64<<10)
	for n > 0 {
		part := min(n, int64(len(got)))
		m, err := p.resp.Body.Read(got[:part])
		if _, werr := io.ReadFull(p.want, want[:m]); werr != nil || string(want[:m]) != string(got[:m]) {
			return fmt.Errorf("after %d bytes: %w", p.read, errDiffers)
		}
		p.read += int64(m)
		n -= int64(m)
		if err != nil {
			return err
		}
	}
	return nil
}

// TestCutPhoto breaks the way of a large answer in its middle. Its caller
// never takes what came for the whole.
func TestCutPhoto(t *testing.T) {
	t.Parallel()
	f := takeFleet(t, size{hosts: 6})
	entry, far := f.hosts[0], f.hosts[1]
	f.linkUpstream(far)
	tests := []struct {
		name string
		cut  func()
		// whole means that nothing is cut.
		whole bool
	}{
		{name: "nothing", cut: func() {}, whole: true},
		{name: "upstream's connection reset", cut: func() { f.must(f.forward.Cut("upstream " + far.name)) }},
		{name: "upstream's connection silent", cut: func() { f.must(f.forward.Forget("upstream " + far.name)) }},
		{name: "peers cut", cut: func() { f.cutPeers(far, fault.Both) }},
		{name: "peers back", cut: func() { f.cutPeers(far, fault.None) }},
		{name: "upstream killed", cut: func() { far.upstream.kill() }},
	}
	for _, tt := range tests {
		if tt.name == "peers back" {
			tt.cut()
			f.has(far, 300)
			continue
		}
		t.Run(tt.name, func(t *testing.T) {
			f.cutOne(t, entry, far, tt.cut, tt.whole)
		})
	}
	t.Run("owner's daemon killed", func(t *testing.T) {
		owner := f.hosts[2]
		f.cutOne(t, entry, owner, owner.daemon.kill, false)
	})
	t.Run("entry killed", func(t *testing.T) {
		owner := f.hosts[3]
		f.cutOne(t, entry, owner, entry.daemon.kill, false)
	})
}

// keyAt waits until a host serves some key that is asked for through another
// one, and returns it.
func (f *fleet) keyAt(h, through *host) string {
	f.t.Helper()
	found := ""
	f.await("a key at "+h.name, func() error {
		for i := range 200 {
			key := fmt.Sprintf("photo-%d", i)
			if a := through.send(ask{method: "GET", key: key, timeout: time.Second}); a.outcome == calls.Answered.String() && a.owner == h.name {
				found = key
				return nil
			}
		}
		return errors.New("none")
	})
	return found
}

// photoAt opens a photo that comes from a host. A key may change hands after it
// was found there: a host whose connections are back may still lose its lease.
func (f *fleet) photoAt(t *testing.T, h, through *host) *photo {
	t.Helper()
	c := qt.New(t)
	for end := time.Now().Add(settleTime); time.Now().Before(end); {
		p, err := through.openPhoto(f.keyAt(h, through))
		c.Assert(err, qt.IsNil)
		owner := p.resp.Header.Get(calls.HeaderOwner)
		c.Assert(p.resp.StatusCode, qt.Equals, http.StatusOK, qt.Commentf("%s: %s, owner %s",
			p.resp.Header.Get(calls.HeaderOutcome), p.resp.Header.Get(calls.HeaderReason), owner))
		if owner == h.name {
			return p
		}
		_ = p.resp.Body.Close()
	}
	t.Fatalf("no photo at %s", h.name)
	return nil
}

// cutOne reads a part of a photo of a host, makes the cut and reads the rest.
func (f *fleet) cutOne(t *testing.T, entry, owner *host, cut func(), whole bool) {
	t.Helper()
	c := qt.New(t)
	p := f.photoAt(t, owner, entry)
	defer p.resp.Body.Close()
	c.Assert(p.resp.ContentLength, qt.Equals, int64(photoBytes))
	c.Assert(p.take(photoPart), qt.IsNil)
	cut()
	start := time.Now()
	err := p.take(photoBytes + 1)
	t.Logf("%d of %d bytes, then %v after %v", p.read, photoBytes, err, time.Since(start).Round(time.Millisecond))
	if whole {
		c.Assert(err, qt.Equals, io.EOF)
		c.Assert(p.read, qt.Equals, int64(photoBytes))
		return
	}
	c.Check(err, qt.Not(qt.ErrorIs), errDiffers)
	c.Check(p.read < photoBytes, qt.IsTrue, qt.Commentf("%d bytes came: the answer was whole before the cut", p.read))
	c.Check(err, qt.Not(qt.Equals), io.EOF, qt.Commentf("a cut answer of %d bytes ended cleanly", p.read))
}
