package cmds

import (
	"fmt"
	"runtime"
)

// version is the release that this tree becomes.
const version = "0.1.0-dev"

// versionCmd prints the version.
type versionCmd struct{}

// versionOut is the version in JSON.
type versionOut struct {
	Version string `json:"version"`
	Go      string `json:"go"`
}

// Run implements the command.
func (versionCmd) Run(env *Env) error {
	out := versionOut{Version: version, Go: runtime.Version()}
	return env.result(out, fmt.Sprintf("monsoonmoor %s %s\n", out.Version, out.Go))
}
