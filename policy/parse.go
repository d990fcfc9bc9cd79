package policy

import (
	"cmp"
	"fmt"
	"maps"
	"slices"
	"time"

	"github.com/monsoonmoor/monsoonmoor/ident"
	"github.com/monsoonmoor/monsoonmoor/strict"
)

// Limits of the fields. They decide on every reader what is accepted, so a
// change to them is a change of the log's format.
const (
	maxServices   = 64
	maxPlaces     = 32
	minSlots      = 16
	maxSlots      = 1 << 16
	maxName       = 64
	maxSegment    = 16
	minTimeout    = time.Millisecond
	maxTimeout    = 5 * time.Minute
	minBody       = 1 << 10
	maxBodyLimit  = 1 << 30
	maxQueue      = 1 << 14
	maxWait       = time.Minute
	maxPercent    = 100
	maxMoves      = 600
	minHysteresis = 0.05
	maxHysteresis = 1
	minCooldown   = time.Second
	maxCooldown   = time.Hour
	maxPins       = 256
)

// SetDefaults implements strict.Defaulter.
func (s *Service) SetDefaults() { *s = DefaultService() }

// Parse checks the team settings in data; name stands for the file in errors.
// An error is a strict.Problems.
func Parse(name string, data []byte) (Document, error) {
	var d Document
	file := strict.Decode(name, data, &d)
	if !file.IsReadable() {
		return Document{}, file.Err()
	}
	for service, s := range d.Services {
		if s.Key.From != FromHeader && !file.HasField(fmt.Sprintf("services.%s.key.name", service)) {
			s.Key.Name = ""
			d.Services[service] = s
		}
	}
	d.check(file.Reject)
	if err := file.Err(); err != nil {
		return Document{}, err
	}
	return d, nil
}

// reject reports a field whose value is not allowed.
type reject func(field, format string, args ...any)

// check reports every value that is not allowed.
func (d *Document) check(reject reject) {
	if !strict.IsName(string(d.Team)) {
		reject("team", "%q, %s allowed", d.Team, strict.NameRule)
	}
	if len(d.Services) > maxServices {
		reject("services", "%d services, at most %d allowed", len(d.Services), maxServices)
	}
	for _, name := range slices.Sorted(maps.Keys(d.Services)) {
		if !strict.IsName(string(name)) {
			reject("services", "service %q, %s allowed", name, strict.NameRule)
			continue
		}
		service := d.Services[name]
		service.check("services."+string(name), reject)
	}
}

// within reports a value outside low and high, both included.
func within[T cmp.Ordered](reject reject, field string, value, low, high T) {
	if value >= low && value <= high {
		return
	}
	reject(field, "%v, from %v to %v allowed", value, low, high)
}

func (s *Service) check(path string, reject reject) {
	within(reject, path+".slots", s.Slots, minSlots, maxSlots)
	if s.Slots&(s.Slots-1) != 0 {
		reject(path+".slots", "%d, a power of two allowed", s.Slots)
	}
	checkPlaces(path+".places", s.Places, reject)
	s.Key.check(path+".key", reject)
	within(reject, path+".timeout", s.Timeout, minTimeout, maxTimeout)
	within(reject, path+".body", s.Body, minBody, maxBodyLimit)
	within(reject, path+".limits.queue", s.Limits.Queue, 0, maxQueue)
	within(reject, path+".limits.wait", s.Limits.Wait, 0, maxWait)
	within(reject, path+".limits.retries", s.Limits.Retries, 0, maxPercent)
	within(reject, path+".share.moves", s.Share.Moves, 0, maxMoves)
	within(reject, path+".share.hysteresis", s.Share.Hysteresis, minHysteresis, maxHysteresis)
	within(reject, path+".share.cooldown", s.Share.Cooldown, minCooldown, maxCooldown)
	within(reject, path+".share.pins", s.Share.Pins, 0, maxPins)
}

func checkPlaces(path string, places []ident.Place, reject reject) {
	if len(places) > maxPlaces {
		reject(path, "%d places, at most %d allowed", len(places), maxPlaces)
	}
	for i, place := range places {
		field := fmt.Sprintf("%s[%d]", path, i)
		if !strict.IsName(string(place)) {
			reject(field, "%q, %s allowed", place, strict.NameRule)
		}
		if slices.Contains(places[:i], place) {
			reject(field, "%q is listed twice, once allowed", place)
		}
	}
}

func (k *Key) check(path string, reject reject) {
	switch k.From {
	case FromHeader, FromQuery:
		if !isToken(k.Name) {
			reject(path+".name", "%q, 1 to %d letters, digits, hyphens and underscores allowed", k.Name, maxName)
		}
		if k.Segment != 0 {
			reject(path+".segment", "%d, allowed only with from: path", k.Segment)
		}
	case FromPath:
		within(reject, path+".segment", k.Segment, 1, maxSegment)
		if k.Name != "" {
			reject(path+".name", "%q, allowed only with from: header or from: query", k.Name)
		}
	default:
		reject(path+".from", "%q, header, path or query allowed", k.From)
	}
}

// isToken reports whether name can be a header or a query parameter.
func isToken(name string) bool {
	if name == "" || len(name) > maxName {
		return false
	}
	for _, c := range []byte(name) {
		letter := c|0x20 >= 'a' && c|0x20 <= 'z'
		if !letter && (c < '0' || c > '9') && c != '-' && c != '_' {
			return false
		}
	}
	return true
}

// problem returns the first value that is not allowed, or "".
func (d *Document) problem() string {
	first := ""
	d.check(func(field, format string, args ...any) {
		if first == "" {
			first = field + ": " + fmt.Sprintf(format, args...)
		}
	})
	return first
}
