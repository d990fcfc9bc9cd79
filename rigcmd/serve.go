package rigcmd

import (
	"context"
	"errors"
	"fmt"
	"net"
	"net/http"
	"time"
)

const (
	// headerTimeout is how long a connection may take to send its headers.
	headerTimeout = 10 * time.Second
	// stopTimeout is how long requests in flight have at the end.
	stopTimeout = 2 * time.Second
)

// serve answers requests on addr until the context ends. It prints the base
// URL first, as "name=URL", so that scripts can use port 0.
func (e *env) serve(name, addr string, handler http.Handler) error {
	ln, err := net.Listen("tcp", addr)
	if err != nil {
		return fmt.Errorf("listen for %s: %w", name, err)
	}
	if err := e.printURL(name, "http://"+ln.Addr().String()); err != nil {
		return err
	}
	srv := &http.Server{Handler: handler, ReadHeaderTimeout: headerTimeout}
	defer context.AfterFunc(e.ctx, func() {
		ctx, cancel := context.WithTimeout(context.Background(), stopTimeout)
		defer cancel()
		if srv.Shutdown(ctx) != nil {
			_ = srv.Close()
		}
	})()
	if err := srv.Serve(ln); !errors.Is(err, http.ErrServerClosed) {
		return fmt.Errorf("serve %s: %w", name, err)
	}
	return nil
}

func (e *env) printURL(name, url string) error {
	if _, err := fmt.Fprintf(e.stdout, "%s=%s\n", name, url); err != nil {
		return fmt.Errorf("print URL of %s: %w", name, err)
	}
	return nil
}
