package rigcmd

import (
	"errors"
	"fmt"
	"io"
	"os"

	"github.com/monsoonmoor/monsoonmoor/verify"
)

// verifyCmd checks histories.
type verifyCmd struct {
	Executions []string `help:"Histories of upstreams." type:"existingfile" required:""`
	Attempts   []string `help:"Histories of callers." type:"existingfile"`
}

// errViolation means that the histories break an invariant.
var errViolation = errors.New("violations found")

// Run implements the command.
func (c *verifyCmd) Run(e *env) error {
	execs, err := readAll(c.Executions, verify.ReadExecutions)
	if err != nil {
		return err
	}
	attempts, err := readAll(c.Attempts, verify.ReadAttempts)
	if err != nil {
		return err
	}
	found := verify.All(execs, attempts)
	for _, v := range found {
		if _, err := fmt.Fprintln(e.stdout, v); err != nil {
			return fmt.Errorf("print violation: %w", err)
		}
	}
	if _, err := fmt.Fprintf(e.stdout, "executions=%d attempts=%d violations=%d\n", len(execs), len(attempts), len(found)); err != nil {
		return fmt.Errorf("print summary: %w", err)
	}
	if len(found) > 0 {
		return errViolation
	}
	return nil
}

// readAll parses the named files with read and joins what they hold.
func readAll[T any](paths []string, read func(io.Reader) ([]T, error)) ([]T, error) {
	var all []T
	for _, path := range paths {
		f, err := os.Open(path)
		if err != nil {
			return nil, fmt.Errorf("open history: %w", err)
		}
		items, err := read(f)
		if err = errors.Join(err, f.Close()); err != nil {
			return nil, fmt.Errorf("%s: %w", path, err)
		}
		all = append(all, items...)
	}
	return all, nil
}
