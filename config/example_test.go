package config_test

import (
	"testing"

	qt "github.com/frankban/quicktest"

	"github.com/monsoonmoor/monsoonmoor/config"
)

// TestExampleFile checks that the example settings file in the repository is valid.
func TestExampleFile(t *testing.T) {
	c := qt.New(t)
	settings, err := config.Load("../examples/dallas-1.yaml")
	c.Assert(err, qt.IsNil)
	c.Assert(string(settings.Host), qt.Equals, "dallas-1")
	c.Assert(settings.TLS.CA, qt.Equals, "../examples/ca.crt")
	c.Assert(settings.Seeds, qt.HasLen, 2)
}
