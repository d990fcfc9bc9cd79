package strict_test

import (
	"errors"
	"strings"
	"testing"
	"time"

	qt "github.com/frankban/quicktest"

	"github.com/monsoonmoor/monsoonmoor/strict"
)

type settings struct {
	Name  string         `yaml:"name"`
	Time  time.Duration  `yaml:"time"`
	Size  strict.Size    `yaml:"size"`
	List  []uint8        `yaml:"list"`
	Parts map[string]int `yaml:"parts"`
	Ratio *float64       `yaml:"ratio"`
}

func TestDecode(t *testing.T) {
	c := qt.New(t)
	s := settings{Name: "kept"}
	f := strict.Decode("s.yaml", []byte("time: 1m30s\nsize: 2MiB\nlist: [1, 255]\nparts: {a: 1}\nratio: 0.5\n"), &s)
	c.Assert(f.Err(), qt.IsNil)
	half := 0.5
	c.Assert(s, qt.DeepEquals, settings{
		Name: "kept", Time: 90 * time.Second, Size: 2 << 20, List: []uint8{1, 255}, Parts: map[string]int{"a": 1}, Ratio: &half,
	})
	c.Assert(f.HasField("parts.a"), qt.IsTrue)
	c.Assert(f.HasField("name"), qt.IsFalse)
}

func TestDecodeProblems(t *testing.T) {
	tests := []struct{ name, text, want string }{
		{"overflow", "list: [256]", `s.yaml:1: list\[0\]: "256", a whole number from 0 allowed`},
		{"number for text", "name: 7", `s.yaml:1: name: "7", a text .*`},
		{"list for mapping", "parts: [a]", "s.yaml:1: parts: a list, a mapping by name allowed"},
		{"text for list", "list: a", `s.yaml:1: list: "a", a list allowed`},
		{"number for duration", "time: 5", `s.yaml:1: time: "5", a duration such as 500ms or 1m30s allowed`},
		{"merge key", "parts: {<<: {a: 1}}", "s.yaml:1: parts: .*"},
		{"tag", "name: !!str x", "s.yaml:1: name: a tag, .*"},
		{"two documents", "name: a\n---\nname: b", "s.yaml:3: second document, one allowed in a file"},
		{"empty", "# nothing\n", "s.yaml:1: empty, a mapping of fields is needed"},
		{"scalar", "name", `s.yaml:1: "name", a mapping with list, name, .* allowed`},
		{"nested too deep", strings.Repeat("[", 100), "s.yaml:1: nested more than 64 levels deep"},
		{"too large", strings.Repeat("#", strict.MaxFileBytes+1), "s.yaml:1: 65537 bytes, at most 65536 allowed"},
	}
	for _, test := range tests {
		t.Run(test.name, func(t *testing.T) {
			var s settings
			qt.Assert(t, strict.Decode("s.yaml", []byte(test.text), &s).Err(), qt.ErrorMatches, test.want)
		})
	}
}

func TestProblemsAreBoundedAndOrdered(t *testing.T) {
	c := qt.New(t)
	var s settings
	f := strict.Decode("s.yaml", []byte(strings.Repeat("unknown: 1\n", 500)), &s)
	f.Reject("name", "wrong")
	var problems strict.Problems
	c.Assert(errors.As(f.Err(), &problems), qt.IsTrue)
	c.Assert(problems, qt.HasLen, 64)
	for i := range problems[1:] {
		c.Assert(problems[i].Line() <= problems[i+1].Line(), qt.IsTrue)
	}
}

func TestSize(t *testing.T) {
	c := qt.New(t)
	for text, want := range map[string]strict.Size{"0": 0, "512": 512, "512B": 512, "3 KiB": 3 << 10, "32MiB": 32 << 20, "1GiB": 1 << 30} {
		size, err := strict.ParseSize(text)
		c.Assert(err, qt.IsNil)
		c.Check(size, qt.Equals, want)
		again, err := strict.ParseSize(size.String())
		c.Assert(err, qt.IsNil)
		c.Check(again, qt.Equals, size)
	}
	for _, text := range []string{"", "-1", "x", "1TiB", "9999999999GiB", "1.5MiB"} {
		_, err := strict.ParseSize(text)
		c.Check(err, qt.IsNotNil, qt.Commentf("%q", text))
	}
}
