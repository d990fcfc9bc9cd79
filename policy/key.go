package policy

import (
	"crypto/ed25519"
	"crypto/x509"
	"encoding/base64"
	"encoding/pem"
	"errors"
	"fmt"
)

// publicPrefix starts the text form of a public key.
const publicPrefix = "ed25519:"

// pemType is the PEM block type of a private key file.
const pemType = "PRIVATE KEY"

// FormatPublic returns the text form of a public key.
func FormatPublic(key ed25519.PublicKey) string {
	return publicPrefix + base64.RawStdEncoding.EncodeToString(key)
}

// ParsePublic reads the text form of a public key.
func ParsePublic(text string) (ed25519.PublicKey, error) {
	if len(text) < len(publicPrefix) || text[:len(publicPrefix)] != publicPrefix {
		return nil, errors.New("parse public key: want ed25519: and 43 base64 characters, as keygen prints")
	}
	raw, err := base64.RawStdEncoding.Strict().DecodeString(text[len(publicPrefix):])
	if err != nil {
		return nil, fmt.Errorf("parse public key: %w", err)
	}
	if len(raw) != ed25519.PublicKeySize {
		return nil, fmt.Errorf("parse public key: %d bytes, %d needed", len(raw), ed25519.PublicKeySize)
	}
	return ed25519.PublicKey(raw), nil
}

// ParseRoots reads the text forms of the operators' root keys.
func ParseRoots(texts []string) ([]ed25519.PublicKey, error) {
	keys := make([]ed25519.PublicKey, 0, len(texts))
	for i, text := range texts {
		key, err := ParsePublic(text)
		if err != nil {
			return nil, fmt.Errorf("root key %d: %w", i+1, err)
		}
		keys = append(keys, key)
	}
	return keys, nil
}

// FormatPrivate returns the PEM file of a private key.
func FormatPrivate(key ed25519.PrivateKey) ([]byte, error) {
	der, err := x509.MarshalPKCS8PrivateKey(key)
	if err != nil {
		return nil, fmt.Errorf("format private key: %w", err)
	}
	return pem.EncodeToMemory(&pem.Block{Type: pemType, Bytes: der}), nil
}

// ParsePrivate reads the PEM file of a private key. Its errors never repeat
// the file's content.
func ParsePrivate(data []byte) (ed25519.PrivateKey, error) {
	block, _ := pem.Decode(data)
	if block == nil || block.Type != pemType {
		return nil, errors.New("parse private key: no PEM block of type " + pemType)
	}
	parsed, err := x509.ParsePKCS8PrivateKey(block.Bytes)
	if err != nil {
		return nil, errors.New("parse private key: not a PKCS #8 key")
	}
	key, ok := parsed.(ed25519.PrivateKey)
	if !ok {
		return nil, errors.New("parse private key: not an ed25519 key")
	}
	return key, nil
}
