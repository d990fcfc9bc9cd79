package cmds

import (
	"context"
	"encoding/json"
	"fmt"
	"io"
	"os/signal"
	"syscall"
)

// Env is what a command runs with.
type Env struct {
	program *Program
	stdin   io.Reader
	stdout  io.Writer
	stderr  io.Writer
	json    bool
}

// Stdout returns the writer for results.
func (e *Env) Stdout() io.Writer { return e.stdout }

// Stderr returns the writer for logs.
func (e *Env) Stderr() io.Writer { return e.stderr }

// JSON reports whether results are to be written as JSON.
func (e *Env) JSON() bool { return e.json }

// Context returns a context that ends with an interrupt or a termination
// signal.
func (e *Env) Context() (context.Context, context.CancelFunc) {
	return signal.NotifyContext(context.Background(), syscall.SIGINT, syscall.SIGTERM)
}

// result writes value as JSON, or text as it is.
func (e *Env) result(value any, text string) error {
	if e.json {
		return writeJSON(e.stdout, value)
	}
	if _, err := io.WriteString(e.stdout, text); err != nil {
		return fmt.Errorf("write result: %w", err)
	}
	return nil
}

// show writes a report in the form that was asked for.
func (e *Env) show(r Report) error {
	if e.json {
		return r.WriteJSON(e.stdout)
	}
	return r.WriteText(e.stdout)
}

func writeJSON(w io.Writer, value any) error {
	enc := json.NewEncoder(w)
	enc.SetIndent("", "  ")
	if err := enc.Encode(value); err != nil {
		return fmt.Errorf("write result: %w", err)
	}
	return nil
}
