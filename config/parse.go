package config

import (
	"fmt"
	"os"
	"path/filepath"

	"github.com/monsoonmoor/monsoonmoor/strict"
)

// Load reads and validates the settings file at path. If the file can be read
// but is invalid, the error is a strict.Problems. Relative paths in the settings
// are resolved against the directory of the settings file.
func Load(path string) (Settings, error) {
	data, err := os.ReadFile(path)
	if err != nil {
		return Settings{}, fmt.Errorf("read settings: %w", err)
	}
	settings, err := Parse(path, data)
	if err != nil {
		return Settings{}, err
	}
	settings.resolvePaths(filepath.Dir(path))
	return settings, nil
}

// Parse decodes and validates the YAML settings in data; fields that are not set
// keep their defaults. Errors refer to the file as name and are of type
// strict.Problems.
func Parse(name string, data []byte) (Settings, error) {
	settings := Default()
	file := strict.Decode(name, data, &settings)
	if file.IsReadable() {
		check(file, &settings)
	}
	if err := file.Err(); err != nil {
		return Settings{}, err
	}
	settings.setAdvertiseDefaults()
	return settings, nil
}

// resolvePaths joins relative file paths to dir, so that they do not depend on the
// working directory.
func (s *Settings) resolvePaths(dir string) {
	for _, path := range []*string{&s.TLS.CA, &s.TLS.Cert, &s.TLS.Key, &s.TokenFile} {
		if *path != "" && !filepath.IsAbs(*path) {
			*path = filepath.Join(dir, *path)
		}
	}
}

// setAdvertiseDefaults sets each empty advertise address to the listen address of
// the same listener.
func (s *Settings) setAdvertiseDefaults() {
	setIfEmpty := func(to *string, from string) {
		if *to == "" {
			*to = from
		}
	}
	setIfEmpty(&s.Advertise.Caller, s.Listen.Caller)
	setIfEmpty(&s.Advertise.Peer, s.Listen.Peer)
	setIfEmpty(&s.Advertise.Admin, s.Listen.Admin)
}
