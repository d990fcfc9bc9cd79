package cmds

import (
	"io"

	"github.com/monsoonmoor/monsoonmoor/plog"
	"github.com/monsoonmoor/monsoonmoor/policy"
	"github.com/monsoonmoor/monsoonmoor/stream"
)

// dialLog reaches the platform's log over HTTP.
func dialLog(url string) (policy.Log, io.Closer, error) {
	port := stream.Dial(url)
	return plog.New(port), port, nil
}
