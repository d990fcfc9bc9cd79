package certs

import (
	"crypto/ecdsa"
	"crypto/elliptic"
	"crypto/rand"
	"crypto/x509"
	"crypto/x509/pkix"
	"encoding/pem"
	"errors"
	"fmt"
	"math/big"
	"os"
	"strings"
	"time"

	"github.com/jonboulle/clockwork"

	"github.com/monsoonmoor/monsoonmoor/ident"
)

// Lifetimes of what an authority issues.
const (
	// DefaultLifetime is how long an issued certificate is valid.
	DefaultLifetime = 30 * 24 * time.Hour
	// authorityLifetime is how long the authority itself is valid.
	authorityLifetime = 10 * 365 * 24 * time.Hour
	// backdate allows for hosts whose clocks run behind.
	backdate = time.Hour
)

// serialBits is the length of a random serial number.
const serialBits = 120

// maxHost is the longest host name in bytes that a certificate can name.
const maxHost = 253

// ErrHost reports a host name that no certificate can carry.
var ErrHost = errors.New("host must be letters, digits, dots and hyphens")

// Option sets a property of an Authority.
type Option func(*Authority)

// WithClock sets the clock for validity times and reloads.
func WithClock(clock clockwork.Clock) Option {
	return func(a *Authority) { a.clock = clock }
}

// WithLifetime sets how long issued certificates are valid.
func WithLifetime(d time.Duration) Option {
	return func(a *Authority) { a.lifetime = d }
}

// Authority signs certificates. It is meant for development and tests; a
// fleet may bring certificates of its own in the same form.
type Authority struct {
	clock    clockwork.Clock
	lifetime time.Duration
	key      *ecdsa.PrivateKey
	cert     *x509.Certificate
}

// NewAuthority makes an authority with a new key.
func NewAuthority(opts ...Option) (*Authority, error) {
	a := newAuthority(opts)
	key, err := ecdsa.GenerateKey(elliptic.P256(), rand.Reader)
	if err != nil {
		return nil, fmt.Errorf("generate authority key: %w", err)
	}
	serial, err := newSerial()
	if err != nil {
		return nil, err
	}
	now := a.clock.Now()
	template := &x509.Certificate{
		SerialNumber:          serial,
		Subject:               pkix.Name{CommonName: "monsoonmoor development authority"},
		NotBefore:             now.Add(-backdate),
		NotAfter:              now.Add(authorityLifetime),
		KeyUsage:              x509.KeyUsageCertSign | x509.KeyUsageDigitalSignature,
		BasicConstraintsValid: true,
		IsCA:                  true,
		MaxPathLenZero:        true,
	}
	der, err := x509.CreateCertificate(rand.Reader, template, template, key.Public(), key)
	if err != nil {
		return nil, fmt.Errorf("sign authority certificate: %w", err)
	}
	a.key = key
	a.cert, err = x509.ParseCertificate(der)
	if err != nil {
		return nil, fmt.Errorf("parse authority certificate: %w", err)
	}
	return a, nil
}

// ReadAuthority loads an authority from its PEM files.
func ReadAuthority(certFile, keyFile string, opts ...Option) (*Authority, error) {
	a := newAuthority(opts)
	certPEM, err := os.ReadFile(certFile)
	if err != nil {
		return nil, fmt.Errorf("read authority certificate: %w", err)
	}
	keyPEM, err := os.ReadFile(keyFile)
	if err != nil {
		return nil, fmt.Errorf("read authority key: %w", err)
	}
	if a.cert, err = parseCert(certPEM); err != nil {
		return nil, fmt.Errorf("authority certificate %s: %w", certFile, err)
	}
	if a.key, err = parseKey(keyPEM); err != nil {
		return nil, fmt.Errorf("authority key %s: %w", keyFile, err)
	}
	if !a.key.PublicKey.Equal(a.cert.PublicKey) {
		return nil, fmt.Errorf("authority key %s does not fit certificate %s", keyFile, certFile)
	}
	return a, nil
}

func newAuthority(opts []Option) *Authority {
	a := &Authority{clock: clockwork.NewRealClock(), lifetime: DefaultLifetime}
	for _, opt := range opts {
		opt(a)
	}
	return a
}

// CertPEM returns the authority's certificate.
func (a *Authority) CertPEM() []byte {
	return pem.EncodeToMemory(&pem.Block{Type: blockCert, Bytes: a.cert.Raw})
}

// WriteFiles writes the authority's certificate and its key, the key readable
// by its user alone.
func (a *Authority) WriteFiles(certFile, keyFile string) error {
	pair, err := newPair(a.cert.Raw, a.key)
	if err != nil {
		return err
	}
	return pair.WriteFiles(certFile, keyFile)
}

// Issue makes a key and a certificate that names host.
func (a *Authority) Issue(host ident.Host) (*Pair, error) {
	if err := checkHost(host); err != nil {
		return nil, err
	}
	key, err := ecdsa.GenerateKey(elliptic.P256(), rand.Reader)
	if err != nil {
		return nil, fmt.Errorf("generate key of %s: %w", host, err)
	}
	serial, err := newSerial()
	if err != nil {
		return nil, err
	}
	now := a.clock.Now()
	template := &x509.Certificate{
		SerialNumber: serial,
		Subject:      pkix.Name{CommonName: string(host)},
		DNSNames:     []string{string(host)},
		NotBefore:    now.Add(-backdate),
		NotAfter:     now.Add(a.lifetime),
		KeyUsage:     x509.KeyUsageDigitalSignature,
		ExtKeyUsage:  []x509.ExtKeyUsage{x509.ExtKeyUsageServerAuth, x509.ExtKeyUsageClientAuth},
	}
	der, err := x509.CreateCertificate(rand.Reader, template, a.cert, key.Public(), a.key)
	if err != nil {
		return nil, fmt.Errorf("sign certificate of %s: %w", host, err)
	}
	return newPair(der, key)
}

func newSerial() (*big.Int, error) {
	serial, err := rand.Int(rand.Reader, new(big.Int).Lsh(big.NewInt(1), serialBits))
	if err != nil {
		return nil, fmt.Errorf("draw serial number: %w", err)
	}
	return serial, nil
}

func checkHost(host ident.Host) error {
	if host == "" || len(host) > maxHost {
		return fmt.Errorf("issue certificate for %q: %w", host, ErrHost)
	}
	for _, r := range strings.ToLower(string(host)) {
		if (r < 'a' || r > 'z') && (r < '0' || r > '9') && r != '-' && r != '.' {
			return fmt.Errorf("issue certificate for %q: %w", host, ErrHost)
		}
	}
	return nil
}
