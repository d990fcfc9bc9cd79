// Command stand runs what stands in for the platform during trials and tests:
// the append-only log, an upstream, a fault-injecting forwarder and a load
// generator.
package main

import (
	"os"

	"github.com/monsoonmoor/monsoonmoor/rigcmd"
)

func main() {
	os.Exit(rigcmd.Main(os.Args[1:], os.Stdin, os.Stdout, os.Stderr))
}
