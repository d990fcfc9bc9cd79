package calls

import (
	"context"
	"net/http"
	"time"

	"github.com/go-logr/logr"
)

// AbortWrites makes writes to w fail once ctx is done, including one that is blocked because
// the receiver does not read. The returned function ends this; it must be called before the
// handler returns.
func AbortWrites(ctx context.Context, w http.ResponseWriter, log logr.Logger) (stop func() bool) {
	return context.AfterFunc(ctx, func() {
		if err := http.NewResponseController(w).SetWriteDeadline(time.Unix(1, 0)); err != nil {
			log.Info("write of an answer not aborted", "err", err.Error())
		}
	})
}
