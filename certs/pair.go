package certs

import (
	"crypto/ecdsa"
	"crypto/tls"
	"crypto/x509"
	"encoding/pem"
	"errors"
	"fmt"
	"os"
	"path/filepath"
)

// PEM block types.
const (
	blockCert = "CERTIFICATE"
	blockKey  = "PRIVATE KEY"
)

// Permissions of the files written.
const (
	certMode = 0o644
	keyMode  = 0o600
)

// Pair is a certificate with its private key. Its String leaves the key out.
type Pair struct {
	certPEM []byte
	keyPEM  []byte
	tls     tls.Certificate
}

func newPair(der []byte, key *ecdsa.PrivateKey) (*Pair, error) {
	raw, err := x509.MarshalPKCS8PrivateKey(key)
	if err != nil {
		return nil, fmt.Errorf("encode private key: %w", err)
	}
	p := &Pair{
		certPEM: pem.EncodeToMemory(&pem.Block{Type: blockCert, Bytes: der}),
		keyPEM:  pem.EncodeToMemory(&pem.Block{Type: blockKey, Bytes: raw}),
	}
	p.tls, err = tls.X509KeyPair(p.certPEM, p.keyPEM)
	if err != nil {
		return nil, fmt.Errorf("join certificate and key: %w", err)
	}
	return p, nil
}

// Certificate returns the pair for use in a tls.Config.
func (p *Pair) Certificate() tls.Certificate { return p.tls }

// CertPEM returns the certificate.
func (p *Pair) CertPEM() []byte { return p.certPEM }

// String names the certificate's subject.
func (p *Pair) String() string {
	if p.tls.Leaf == nil {
		return "certificate"
	}
	return "certificate of " + p.tls.Leaf.Subject.CommonName
}

// GoString keeps the private key out of %#v.
func (p *Pair) GoString() string { return p.String() }

// WriteFiles writes both as PEM, each by a rename, so that a reader meets a
// whole file. The key's file is readable by its user alone.
func (p *Pair) WriteFiles(certFile, keyFile string) error {
	if err := writeFile(keyFile, p.keyPEM, keyMode); err != nil {
		return fmt.Errorf("write private key: %w", err)
	}
	if err := writeFile(certFile, p.certPEM, certMode); err != nil {
		return fmt.Errorf("write certificate: %w", err)
	}
	return nil
}

func writeFile(name string, data []byte, mode os.FileMode) (err error) {
	f, err := os.CreateTemp(filepath.Dir(name), ".tmp-*")
	if err != nil {
		return fmt.Errorf("create file: %w", err)
	}
	defer func() {
		if err != nil {
			_ = os.Remove(f.Name())
		}
	}()
	// CreateTemp makes the file for its user alone, so the key is never open
	// to others.
	_, err = f.Write(data)
	if err = errors.Join(err, f.Chmod(mode), f.Close()); err != nil {
		return fmt.Errorf("write file: %w", err)
	}
	if err = os.Rename(f.Name(), name); err != nil {
		return fmt.Errorf("rename file: %w", err)
	}
	return nil
}

func parseCert(data []byte) (*x509.Certificate, error) {
	block, _ := pem.Decode(data)
	if block == nil || block.Type != blockCert {
		return nil, errors.New("no certificate in PEM form")
	}
	cert, err := x509.ParseCertificate(block.Bytes)
	if err != nil {
		return nil, fmt.Errorf("parse certificate: %w", err)
	}
	return cert, nil
}

func parseKey(data []byte) (*ecdsa.PrivateKey, error) {
	block, _ := pem.Decode(data)
	if block == nil || block.Type != blockKey {
		return nil, errors.New("no private key in PEM form")
	}
	key, err := x509.ParsePKCS8PrivateKey(block.Bytes)
	if err != nil {
		return nil, fmt.Errorf("parse private key: %w", err)
	}
	ec, ok := key.(*ecdsa.PrivateKey)
	if !ok {
		return nil, errors.New("private key is not an ECDSA key")
	}
	return ec, nil
}
