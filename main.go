// Command monsoonmoor is the daemon that runs beside each upstream host, and
// the tool with which operators talk to daemons.
package main

import (
	"os"

	"github.com/monsoonmoor/monsoonmoor/cmds"
)

func main() {
	os.Exit(cmds.Main(os.Args[1:], os.Stdin, os.Stdout, os.Stderr))
}
