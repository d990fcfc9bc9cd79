package peers

import (
	"crypto/hmac"
	"crypto/sha256"
	"crypto/tls"
	"crypto/x509"
	"errors"
	"fmt"

	"github.com/quic-go/quic-go"
)

// resetLabel separates the reset key from other values derived from the private key.
const resetLabel = "moor stateless reset"

// errNoKeyPair reports a TLS configuration without a key pair.
var errNoKeyPair = errors.New("TLS configuration has no key pair")

// newResetKey derives the stateless reset key from the host's private key. The key stays
// the same after a restart, so a new process can tell peers immediately that their old
// connections are gone.
func newResetKey(config *tls.Config) (*quic.StatelessResetKey, error) {
	cert, err := keyPairOf(config)
	if err != nil {
		return nil, err
	}
	der, err := x509.MarshalPKCS8PrivateKey(cert.PrivateKey)
	if err != nil {
		return nil, fmt.Errorf("encode private key: %w", err)
	}
	mac := hmac.New(sha256.New, der)
	mac.Write([]byte(resetLabel))
	var key quic.StatelessResetKey
	copy(key[:], mac.Sum(nil))
	return &key, nil
}

// keyPairOf returns the key pair that config presents to peers.
func keyPairOf(config *tls.Config) (*tls.Certificate, error) {
	if config.GetCertificate != nil {
		cert, err := config.GetCertificate(&tls.ClientHelloInfo{})
		if err != nil {
			return nil, fmt.Errorf("get key pair: %w", err)
		}
		return cert, nil
	}
	if len(config.Certificates) == 0 {
		return nil, errNoKeyPair
	}
	return &config.Certificates[0], nil
}
