// Package rigcmd holds the commands of the stand program: the stand-ins for
// the platform and the load generator, one a file.
//
// # Usage
//
//	os.Exit(rigcmd.Main(os.Args[1:], os.Stdin, os.Stdout, os.Stderr))
package rigcmd

import (
	"context"
	"errors"
	"io"
	"log"
	"os/signal"
	"syscall"

	"github.com/alecthomas/kong"
	"github.com/go-logr/logr"
	"github.com/go-logr/stdr"
	"github.com/jonboulle/clockwork"
)

// Exit codes of the program.
const (
	// ExitOK means that the command did what it was asked.
	ExitOK = 0
	// ExitFailure means that the command ran and failed, or that verify found
	// a violation.
	ExitFailure = 1
	// ExitUsage means that the command line is wrong.
	ExitUsage = 2
	// ExitCrash is that of an upstream that a poisonous request crashed.
	ExitCrash = 70
)

// errCrash makes Main return ExitCrash.
var errCrash = errors.New("upstream crashed")

// root is the command line's grammar.
type root struct {
	Log      logCmd      `cmd:"" help:"Run the append-only log."`
	Upstream upstreamCmd `cmd:"" help:"Run an upstream."`
	Load     loadCmd     `cmd:"" help:"Make open-loop load and print what came of it."`
	Fault    faultCmd    `cmd:"" help:"Run the fault-injecting forwarder."`
	Verify   verifyCmd   `cmd:"" help:"Check histories for broken invariants."`
}

// env is what commands take from the program.
type env struct {
	ctx    context.Context
	clock  clockwork.Clock
	log    logr.Logger
	stdout io.Writer
}

// Main runs the command line in args and returns the exit code. SIGINT and
// SIGTERM end a command that serves.
func Main(args []string, stdin io.Reader, stdout, stderr io.Writer) int {
	_ = stdin
	ctx, stop := signal.NotifyContext(context.Background(), syscall.SIGINT, syscall.SIGTERM)
	defer stop()
	var cli root
	exit := -1
	parser, err := kong.New(&cli,
		kong.Name("stand"),
		kong.Description("Stands in for the platform during trials and tests."),
		kong.Writers(stdout, stderr),
		kong.Exit(func(code int) { exit = code }),
		kong.UsageOnError(),
	)
	if err != nil {
		return report(stderr, err, ExitFailure)
	}
	kctx, err := parser.Parse(args)
	if exit >= 0 {
		return exit
	}
	if err != nil {
		return report(stderr, err, ExitUsage)
	}
	e := &env{
		ctx:    ctx,
		clock:  clockwork.NewRealClock(),
		log:    stdr.New(log.New(stderr, "", log.LstdFlags|log.Lmicroseconds)),
		stdout: stdout,
	}
	switch err := kctx.Run(e); {
	case errors.Is(err, errCrash):
		return report(stderr, err, ExitCrash)
	case err != nil:
		return report(stderr, err, ExitFailure)
	}
	return ExitOK
}

func report(stderr io.Writer, err error, code int) int {
	_, _ = io.WriteString(stderr, "stand: "+err.Error()+"\n")
	return code
}
