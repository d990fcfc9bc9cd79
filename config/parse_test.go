package config_test

import (
	"errors"
	"os"
	"path/filepath"
	"strings"
	"testing"
	"time"

	qt "github.com/frankban/quicktest"

	"github.com/monsoonmoor/monsoonmoor/config"
	"github.com/monsoonmoor/monsoonmoor/strict"
)

const validSettings = `host: dallas-1
place: dallas
region: texas
service: rounds-desk
listen:
  caller: "127.0.0.1:8101"
  peer: "127.0.0.1:9101"
  admin: "127.0.0.1:7101"
  upstream: "127.0.0.1:6101"
log: {url: "http://127.0.0.1:5101", budget: 20}
tls: {ca: ca.pem, cert: /etc/moor/cert.pem, key: key.pem}
lease: {length: 2s}
limits: {body: 64MiB}
`

func TestParseKeepsDefaults(t *testing.T) {
	c := qt.New(t)
	s, err := config.Parse("dallas-1.yaml", []byte(validSettings))
	c.Assert(err, qt.IsNil)
	c.Assert(s.Lease, qt.Equals,
		config.Lease{Length: 2 * time.Second, RenewInterval: 500 * time.Millisecond, Drift: 100 * time.Millisecond})
	c.Assert(s.Limits.Body, qt.Equals, strict.Size(64<<20))
	c.Assert(s.Limits.Queue, qt.Equals, config.Default().Limits.Queue)
	c.Assert(s.Advertise.Peer, qt.Equals, "127.0.0.1:9101")
}

func TestLoadResolvesRelativePaths(t *testing.T) {
	c := qt.New(t)
	dir := t.TempDir()
	path := filepath.Join(dir, "d.yaml")
	c.Assert(os.WriteFile(path, []byte(validSettings), 0o600), qt.IsNil)
	s, err := config.Load(path)
	c.Assert(err, qt.IsNil)
	c.Assert(s.TLS.CA, qt.Equals, filepath.Join(dir, "ca.pem"))
	c.Assert(s.TLS.Cert, qt.Equals, "/etc/moor/cert.pem")
	c.Assert(s.TokenFile, qt.Equals, "")
}

func TestParseRejects(t *testing.T) {
	tests := []struct {
		name, old, replacement, want string
	}{
		{"unknown field", "limits: {body: 64MiB}", "limits: {bodies: 1}", "d.yaml:13: limits.bodies: unknown field, allowed: body, callers, .*"},
		{"renew interval too long", "length: 2s", "renew: 750ms", `d.yaml:12: lease.renew: 750ms, from 50ms to less than half of lease.length \(1.5s\) allowed`},
		{"host name instead of IP address", `caller: "127.0.0.1:8101"`, `caller: "localhost:8101"`, `d.yaml:6: listen.caller: "localhost:8101", IP:port allowed .*`},
		{"duplicate listen address", "127.0.0.1:7101", "127.0.0.1:8101", `d.yaml:8: listen.admin: 127.0.0.1:8101, an address other than that of listen.caller needed`},
		{"unspecified address without advertise", "127.0.0.1:9101", "0.0.0.0:9101", `d.yaml:1: advertise.peer: missing, .*`},
		{"missing host", "host: dallas-1\n", "", "d.yaml:1: host: missing, needed"},
		{"wrong type", "budget: 20", "budget: many", `d.yaml:10: log.budget: "many", a number allowed`},
		{"out of range", "budget: 20", "budget: 501", `d.yaml:10: log.budget: 501, from 0.1 to 500 allowed`},
		{"twice", "place: dallas\n", "place: dallas\nplace: houston\n", "d.yaml:3: place: given twice, first on line 2"},
		{"name in log URL", "http://127.0.0.1:5101", "http://log:5101", "d.yaml:10: log.url: .*IP:port allowed"},
		{"bad root", "lease:", "roots: [abc]\nlease:", `d.yaml:12: roots\[0\]: parse public key: .*`},
		{"syntax", "limits: {", "limits: [", "d.yaml:13: .*"},
		{"null", "place: dallas", "place:", "d.yaml:2: place: no value, .*"},
		{"alias", "place: dallas", "place: *x", "d.yaml:2: place: an alias, .*"},
	}
	for _, test := range tests {
		t.Run(test.name, func(t *testing.T) {
			c := qt.New(t)
			text := strings.Replace(validSettings, test.old, test.replacement, 1)
			c.Assert(text, qt.Not(qt.Equals), validSettings)
			_, err := config.Parse("d.yaml", []byte(text))
			c.Assert(err, qt.ErrorMatches, test.want)
		})
	}
}

func TestParseCollectsAllProblems(t *testing.T) {
	c := qt.New(t)
	_, err := config.Parse("d.yaml", []byte("host: A B\nplace: 7\nverbose: 9\nextra: 1\n"))
	var problems strict.Problems
	c.Assert(errors.As(err, &problems), qt.IsTrue)
	fields := map[string]int{}
	for _, p := range problems {
		fields[p.Field()] = p.Line()
	}
	c.Assert(problems, qt.HasLen, 13)
	for field, line := range map[string]int{"host": 1, "place": 2, "verbose": 3, "extra": 4, "region": 1, "log.url": 1, "tls.key": 1} {
		c.Check(fields[field], qt.Equals, line, qt.Commentf("%s", field))
	}
}

func FuzzParse(f *testing.F) {
	for _, seed := range []string{validSettings, "", "a: [", "- ? :", "a: &x *x", "\x00", "{{{{", "a: !!binary x", "? a\n: b", "a: |\n  x\n y", "<<: {host: a}"} {
		f.Add([]byte(seed))
	}
	f.Fuzz(func(t *testing.T, data []byte) {
		_, err := config.Parse("fuzz.yaml", data)
		var problems strict.Problems
		if err == nil {
			return
		}
		if !errors.As(err, &problems) || len(problems) == 0 {
			t.Fatalf("error without problems: %v", err)
		}
		lines := strings.Count(string(data), "\n") + strings.Count(string(data), "\r") + 1
		for _, p := range problems {
			if p.Line() < 1 || p.Line() > lines {
				t.Fatalf("line %d of %d: %v", p.Line(), lines, p)
			}
		}
	})
}
