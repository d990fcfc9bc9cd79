// Package cmds holds the commands of the monsoonmoor program, one a file.
//
// Results go to the standard output, everything else to the standard error.
// With --json a command writes its result as one JSON value. The exit codes
// are the constants that start with Exit.
//
// # Usage
//
//	os.Exit(cmds.Main(os.Args[1:], os.Stdin, os.Stdout, os.Stderr))
package cmds

import (
	"errors"
	"fmt"
	"io"

	"github.com/alecthomas/kong"

	"github.com/monsoonmoor/monsoonmoor/policy"
	"github.com/monsoonmoor/monsoonmoor/strict"
)

// Exit codes of the program.
const (
	// ExitOK means that the command did what it was asked.
	ExitOK = 0
	// ExitFailure means that the command ran and failed.
	ExitFailure = 1
	// ExitUsage means that the command line or a settings file is wrong.
	ExitUsage = 2
	// ExitRefused means that the order was refused and had no effect, such as a
	// publish that lost to another one.
	ExitRefused = 3
	// ExitUnknown means that the order may or may not take effect. Repeating it
	// with the same --id is safe.
	ExitUnknown = 4
	// ExitPartial means that the result lacks what some daemons did not answer.
	ExitPartial = 5
)

const description = `Routes every call to the one owner of its key.

Exit codes: 0 done; 1 failed; 2 wrong command line or settings; 3 refused,
nothing changed; 4 unknown, may have taken effect; 5 partial, some daemons did
not answer.`

// root is the command line's grammar.
type root struct {
	JSON bool `name:"json" help:"Write the result as JSON."`

	Daemon     daemonCmd     `cmd:"" help:"Run the daemon beside an upstream host."`
	Fleet      fleetCmd      `cmd:"" help:"Run the daemon beside an upstream on the platform of its users."`
	Demo       demoCmd       `cmd:"" help:"Run a whole fleet with stand-ins in one process, load it and print a summary."`
	Check      checkCmd      `cmd:"" help:"Check settings files of daemons and teams."`
	Publish    publishCmd    `cmd:"" help:"Publish a team's settings."`
	Diff       diffCmd       `cmd:"" help:"Compare a team's settings with those in force."`
	Keygen     keygenCmd     `cmd:"" help:"Make a key pair for a team or for the operators' root."`
	Rotate     rotateCmd     `cmd:"" help:"Give a team its first or next public key."`
	Genesis    genesisCmd    `cmd:"" help:"Start settings anew after the log has lost them all."`
	Status     statusCmd     `cmd:"" help:"Show members, owners, leases, load and settings."`
	Timeline   timelineCmd   `cmd:"" help:"Show what happened, merged from all daemons."`
	Logs       logsCmd       `cmd:"" help:"Put the logs of a fleet together: the course of a day, or of one request."`
	Drain      drainCmd      `cmd:"" help:"Make a daemon give its slots away and leave."`
	Evict      evictCmd      `cmd:"" help:"Declare a member gone for good."`
	Quarantine quarantineCmd `cmd:"" help:"Show or lift the quarantine of requests."`
	Version    versionCmd    `cmd:"" help:"Print the version."`
}

// Program is the command-line program with the ports that it uses.
type Program struct {
	dialLog  DialLog
	operator DialOperator
}

// Option sets a detail of a Program.
type Option func(*Program)

// New returns the program.
func New(opts ...Option) *Program {
	p := &Program{dialLog: dialLog, operator: dialOperator}
	for _, opt := range opts {
		opt(p)
	}
	return p
}

// Main runs the command line in args and returns the exit code.
func Main(args []string, stdin io.Reader, stdout, stderr io.Writer) int {
	return New().Run(args, stdin, stdout, stderr)
}

// Run runs the command line in args and returns the exit code.
func (p *Program) Run(args []string, stdin io.Reader, stdout, stderr io.Writer) int {
	var cli root
	exit := -1
	parser, err := kong.New(&cli,
		kong.Name("monsoonmoor"),
		kong.Description(description),
		kong.Writers(stdout, stderr),
		kong.Exit(func(code int) { exit = code }),
		kong.ConfigureHelp(kong.HelpOptions{Compact: true, WrapUpperBound: 100}),
	)
	if err != nil {
		report(stderr, err)
		return ExitFailure
	}
	kctx, err := parser.Parse(args)
	if exit >= 0 {
		return exit
	}
	if err != nil {
		report(stderr, err)
		_, _ = fmt.Fprintln(stderr, "monsoonmoor: see monsoonmoor --help")
		return ExitUsage
	}
	env := &Env{program: p, stdin: stdin, stdout: stdout, stderr: stderr, json: cli.JSON}
	err = kctx.Run(env)
	if err != nil {
		report(stderr, err)
	}
	return exitCode(err)
}

// report writes an error. Faults of settings files are written as
// file:line: field: text, as editors expect.
func report(stderr io.Writer, err error) {
	var problems strict.Problems
	if errors.As(err, &problems) {
		_, _ = fmt.Fprintln(stderr, problems.Error())
		return
	}
	_, _ = fmt.Fprintln(stderr, "monsoonmoor: "+err.Error())
}

// errUsage marks an error of the command line.
var errUsage = errors.New("wrong command line")

// errPartial marks a result that lacks the answers of some daemons.
var errPartial = errors.New("some daemons did not answer")

// exitCode returns the exit code for a command's error.
func exitCode(err error) int {
	var problems strict.Problems
	var rejected *policy.RejectedError
	switch {
	case err == nil:
		return ExitOK
	case errors.As(err, &problems), errors.Is(err, errUsage):
		return ExitUsage
	case errors.As(err, &rejected), errors.Is(err, ErrRefused):
		return ExitRefused
	case errors.Is(err, policy.ErrUnknown):
		return ExitUnknown
	case errors.Is(err, errPartial):
		return ExitPartial
	}
	return ExitFailure
}
