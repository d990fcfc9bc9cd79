package certs

import (
	"crypto/tls"
	"crypto/x509"
	"errors"
	"fmt"
	"os"
	"sync"
	"time"

	"github.com/jonboulle/clockwork"

	"github.com/monsoonmoor/monsoonmoor/ident"
)

// Protocol is the ALPN name of the peer protocol.
const Protocol = "moor/1"

// reloadEvery is the shortest time between two looks at the files.
const reloadEvery = 5 * time.Second

// ErrNoHost reports a certificate that does not name exactly one host.
var ErrNoHost = errors.New("certificate does not name exactly one host")

// HostOf returns the host that a verified certificate names.
func HostOf(cert *x509.Certificate) (ident.Host, error) {
	if cert == nil || len(cert.DNSNames) != 1 {
		return "", ErrNoHost
	}
	return ident.Host(cert.DNSNames[0]), nil
}

// ConfigOption sets a property of ServerClientConfig.
type ConfigOption func(*reloader)

// WithReloadClock sets the clock that paces the looks at the files and by
// which certificates expire.
func WithReloadClock(clock clockwork.Clock) ConfigOption {
	return func(r *reloader) { r.clock = clock }
}

// ServerClientConfig returns the mutual TLS 1.3 settings of a daemon, for both
// of its ends. The key pair is read again when its files change; if the new
// files cannot be used the old pair stays in force. Whoever dials sets
// ServerName to the host it wants, which the peer's certificate must name.
func ServerClientConfig(caFile, certFile, keyFile string, opts ...ConfigOption) (*tls.Config, error) {
	pool, err := readPool(caFile)
	if err != nil {
		return nil, err
	}
	r := &reloader{clock: clockwork.NewRealClock(), certFile: certFile, keyFile: keyFile}
	for _, opt := range opts {
		opt(r)
	}
	if err := r.load(); err != nil {
		return nil, err
	}
	return r.config(pool), nil
}

// PairConfig is ServerClientConfig for a pair held in memory.
func PairConfig(caPEM []byte, pair *Pair) (*tls.Config, error) {
	pool := x509.NewCertPool()
	if !pool.AppendCertsFromPEM(caPEM) {
		return nil, errors.New("no authority certificate in PEM form")
	}
	cert := pair.Certificate()
	r := &reloader{clock: clockwork.NewRealClock(), current: &cert}
	return r.config(pool), nil
}

func readPool(caFile string) (*x509.CertPool, error) {
	data, err := os.ReadFile(caFile)
	if err != nil {
		return nil, fmt.Errorf("read authority: %w", err)
	}
	pool := x509.NewCertPool()
	if !pool.AppendCertsFromPEM(data) {
		return nil, fmt.Errorf("authority %s: no certificate in PEM form", caFile)
	}
	return pool, nil
}

// reloader holds the key pair in force.
type reloader struct {
	clock             clockwork.Clock
	certFile, keyFile string

	mu      sync.Mutex
	current *tls.Certificate
	looked  time.Time
	stamp   [2]fileStamp
}

// fileStamp tells one version of a file from the next.
type fileStamp struct {
	modified time.Time
	size     int64
}

func (r *reloader) config(pool *x509.CertPool) *tls.Config {
	return &tls.Config{
		MinVersion: tls.VersionTLS13,
		NextProtos: []string{Protocol},
		RootCAs:    pool,
		ClientCAs:  pool,
		ClientAuth: tls.RequireAndVerifyClientCert,
		Time:       r.clock.Now,
		GetCertificate: func(*tls.ClientHelloInfo) (*tls.Certificate, error) {
			return r.pair(), nil
		},
		GetClientCertificate: func(*tls.CertificateRequestInfo) (*tls.Certificate, error) {
			return r.pair(), nil
		},
	}
}

// pair returns the pair in force, after a look at the files if one is due.
func (r *reloader) pair() *tls.Certificate {
	r.mu.Lock()
	defer r.mu.Unlock()
	if r.certFile == "" || r.clock.Since(r.looked) < reloadEvery {
		return r.current
	}
	r.looked = r.clock.Now()
	if stamp, err := r.stat(); err == nil && stamp != r.stamp {
		// A pair that does not fit yet is half written; the next look decides.
		_ = r.read(stamp)
	}
	return r.current
}

func (r *reloader) load() error {
	r.mu.Lock()
	defer r.mu.Unlock()
	stamp, err := r.stat()
	if err != nil {
		return err
	}
	r.looked = r.clock.Now()
	return r.read(stamp)
}

func (r *reloader) read(stamp [2]fileStamp) error {
	cert, err := tls.LoadX509KeyPair(r.certFile, r.keyFile)
	if err != nil {
		return fmt.Errorf("load key pair %s, %s: %w", r.certFile, r.keyFile, err)
	}
	if _, err := HostOf(cert.Leaf); err != nil {
		return fmt.Errorf("load key pair %s: %w", r.certFile, err)
	}
	r.current, r.stamp = &cert, stamp
	return nil
}

func (r *reloader) stat() ([2]fileStamp, error) {
	var stamps [2]fileStamp
	for i, name := range []string{r.certFile, r.keyFile} {
		info, err := os.Stat(name)
		if err != nil {
			return stamps, fmt.Errorf("look at key pair: %w", err)
		}
		stamps[i] = fileStamp{modified: info.ModTime(), size: info.Size()}
	}
	return stamps, nil
}
