package config

import (
	"cmp"
	"fmt"
	"net/netip"
	"net/url"
	"time"

	"github.com/monsoonmoor/monsoonmoor/policy"
	"github.com/monsoonmoor/monsoonmoor/strict"
)

// Bounds of the fields, both included. Sizes (body, header, journal) are in bytes,
// the budget is in log appends per second.
const (
	maxRoots       = 4
	maxSeeds       = 8
	maxVerbose     = 3
	minBudget      = 0.1
	maxBudget      = 500
	minRetention   = 10 * time.Second
	maxRetention   = 365 * 24 * time.Hour
	minLease       = 200 * time.Millisecond
	maxLease       = 10 * time.Second
	minRenew       = 50 * time.Millisecond
	minDrift       = time.Millisecond
	minGrant       = 100 * time.Millisecond
	minTimeline    = 64
	maxTimeline    = 1 << 16
	maxQueue       = 1 << 14
	maxConnections = 1 << 16
	minBody        = 1 << 10
	maxBody        = 1 << 30
	minHeader      = 1 << 10
	maxHeader      = 1 << 20
	minJournal     = 64 << 10
	maxJournal     = 256 << 20
	minRead        = 100 * time.Millisecond
	maxRead        = time.Minute
	minIdle        = time.Second
	maxIdle        = time.Hour
	minTimeout     = time.Millisecond
	maxTimeout     = 5 * time.Minute
)

// checker adds a problem to file for each invalid value.
type checker struct {
	file *strict.File
}

// check validates all settings and adds a problem to file for each value that is
// missing, malformed or out of range.
func check(file *strict.File, s *Settings) {
	c := checker{file: file}
	c.checkNames(s)
	c.checkAddresses(s)
	c.checkLog(&s.Log)
	c.requireValue("tls.ca", s.TLS.CA)
	c.requireValue("tls.cert", s.TLS.Cert)
	c.requireValue("tls.key", s.TLS.Key)
	c.checkLease(s)
	c.checkLimits(&s.Limits)
	checkRange(c, "timeline.size", s.Timeline.Size, minTimeline, maxTimeline)
	checkRange(c, "verbose", s.Verbosity, 0, maxVerbose)
	c.checkRoots(s.Roots)
	c.checkSeeds(s.Seeds)
}

// checkRange rejects a value that is less than low or greater than high.
func checkRange[T cmp.Ordered](c checker, field string, value, low, high T) {
	if value >= low && value <= high {
		return
	}
	c.file.Reject(field, "%v, from %v to %v allowed", value, low, high)
}

// requireValue rejects an empty value and reports whether the value is set.
func (c checker) requireValue(field, value string) bool {
	if value == "" {
		c.file.Reject(field, "missing, needed")
	}
	return value != ""
}

// checkNames validates the names of the host, its place, region and service. Only
// the service may be empty.
func (c checker) checkNames(s *Settings) {
	for _, n := range []struct {
		field, value string
		required     bool
	}{
		{"host", string(s.Host), true},
		{"place", string(s.Place), true},
		{"region", string(s.Region), true},
		{"service", string(s.Service), false},
	} {
		if n.value == "" && !n.required || n.required && !c.requireValue(n.field, n.value) {
			continue
		}
		if !strict.IsName(n.value) {
			c.file.Reject(n.field, "%q, %s allowed", n.value, strict.NameRule)
		}
	}
}

// checkAddresses validates the listen and advertise addresses. TCP listeners need
// distinct addresses; the peer listener uses UDP and may share one. A listener on
// the unspecified address needs an advertise address, except the upstream listener.
func (c checker) checkAddresses(s *Settings) {
	listeners := []struct{ field, listen, advertise string }{
		{"caller", s.Listen.Caller, s.Advertise.Caller},
		{"peer", s.Listen.Peer, s.Advertise.Peer},
		{"admin", s.Listen.Admin, s.Advertise.Admin},
		{"upstream", s.Listen.Upstream, ""},
	}
	fieldByAddr := map[netip.AddrPort]string{}
	for _, l := range listeners {
		field := "listen." + l.field
		if !c.requireValue(field, l.listen) {
			continue
		}
		addr, ok := c.parseAddress(field, l.listen)
		if !ok {
			continue
		}
		if first, taken := fieldByAddr[addr]; taken && l.field != "peer" {
			c.file.Reject(field, "%s, an address other than that of %s needed", addr, first)
		}
		if l.field != "peer" {
			fieldByAddr[addr] = field
		}
		if addr.Addr().IsUnspecified() && l.advertise == "" && l.field != "upstream" {
			c.file.Reject("advertise."+l.field, "missing, needed because %s listens on every address", field)
		}
	}
	for _, l := range listeners {
		if l.advertise == "" {
			continue
		}
		addr, ok := c.parseAddress("advertise."+l.field, l.advertise)
		if ok && addr.Addr().IsUnspecified() {
			c.file.Reject("advertise."+l.field, "%s, an address that other hosts can reach needed", addr)
		}
	}
}

// parseAddress parses an IP:port. It rejects host names and port 0 and reports
// whether the address is valid.
func (c checker) parseAddress(field, value string) (netip.AddrPort, bool) {
	addr, err := netip.ParseAddrPort(value)
	if err != nil || addr.Port() == 0 {
		c.file.Reject(field, "%q, IP:port allowed (no names, port from 1 to 65535)", value)
		return netip.AddrPort{}, false
	}
	return addr, true
}

// checkLog validates the URL of the log, which holds only a scheme, IP, port and
// path, and the limits of its use.
func (c checker) checkLog(l *Log) {
	if c.requireValue("log.url", l.URL) {
		u, err := url.Parse(l.URL)
		switch {
		case err != nil, u.Scheme != "http" && u.Scheme != "https", !isAddrPort(u.Host),
			u.User != nil, u.RawQuery != "", u.Fragment != "":
			c.file.Reject("log.url", "%q, http://IP:port or https://IP:port allowed", l.URL)
		}
	}
	checkRange(c, "log.budget", l.AppendRate, minBudget, maxBudget)
	checkRange(c, "log.keep", l.Retention, minRetention, maxRetention)
}

// isAddrPort reports whether host is an IP:port with a port other than 0.
func isAddrPort(host string) bool {
	addr, err := netip.ParseAddrPort(host)
	return err == nil && addr.Port() != 0
}

// checkLease validates lease.length and the renewal interval, clock drift and grant
// length, whose upper bounds depend on it.
func (c checker) checkLease(s *Settings) {
	length := s.Lease.Length
	checkRange(c, "lease.length", length, minLease, maxLease)
	if s.Lease.RenewInterval < minRenew || 2*s.Lease.RenewInterval >= length {
		c.file.Reject("lease.renew", "%s, from %s to less than half of lease.length (%s) allowed",
			s.Lease.RenewInterval, minRenew, length)
	}
	if s.Lease.Drift < minDrift || 2*s.Lease.Drift > length {
		c.file.Reject("lease.drift", "%s, from %s to half of lease.length (%s) allowed",
			s.Lease.Drift, minDrift, length)
	}
	if s.Grant.Length < minGrant || s.Grant.Length > length {
		c.file.Reject("grant.length", "%s, from %s to lease.length (%s) allowed",
			s.Grant.Length, minGrant, length)
	}
}

func (c checker) checkLimits(l *Limits) {
	checkRange(c, "limits.queue", l.Queue, 0, maxQueue)
	checkRange(c, "limits.body", l.Body, minBody, maxBody)
	checkRange(c, "limits.header", l.Header, minHeader, maxHeader)
	checkRange(c, "limits.callers", l.CallerConns, 1, maxConnections)
	checkRange(c, "limits.conns", l.UpstreamConns, 1, maxConnections)
	checkRange(c, "limits.journal", l.Journal, minJournal, maxJournal)
	checkRange(c, "limits.read", l.HeaderTimeout, minRead, maxRead)
	checkRange(c, "limits.idle", l.IdleTimeout, minIdle, maxIdle)
	checkRange(c, "limits.timeout", l.Timeout, minTimeout, maxTimeout)
}

// checkRoots validates the number and the encoding of the public root keys.
func (c checker) checkRoots(roots []string) {
	if len(roots) > maxRoots {
		c.file.Reject("roots", "%d keys, at most %d allowed", len(roots), maxRoots)
	}
	for i, root := range roots {
		if _, err := policy.ParsePublic(root); err != nil {
			c.file.Reject(fmt.Sprintf("roots[%d]", i), "%v", err)
		}
	}
}

// checkSeeds validates the number and the syntax of the seed addresses.
func (c checker) checkSeeds(seeds []string) {
	if len(seeds) > maxSeeds {
		c.file.Reject("seeds", "%d addresses, at most %d allowed", len(seeds), maxSeeds)
	}
	for i, seed := range seeds {
		c.parseAddress(fmt.Sprintf("seeds[%d]", i), seed)
	}
}
