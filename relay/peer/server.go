package peer

import (
	"context"
	"crypto/tls"
	"log/slog"
	"net"
	"time"

	"storj.io/drpc/drpcmux"
	"storj.io/drpc/drpcserver"
)

// inactivityTimeout is the time after which the server closes a connection on which
// no call begins. It is longer than clients keep an idle connection, so that no
// call is sent on a connection that the server closes.
//
// Without this timeout a connection whose first frame begins no call, or whose TLS
// handshake never completes, is never read again: the server would not notice that
// the peer is gone and would keep the descriptor and goroutines forever.
const inactivityTimeout = 4 * idleExpiration

// Serve answers drpc calls on the listener until ctx is done. Nil keys mean clear
// text.
func Serve(ctx context.Context, lis net.Listener, keys *Keys, mux *drpcmux.Mux, log *slog.Logger) error {
	return serveWithTimeout(ctx, lis, keys, mux, log, inactivityTimeout)
}

func serveWithTimeout(ctx context.Context, lis net.Listener, keys *Keys, mux *drpcmux.Mux, log *slog.Logger, inactivity time.Duration) error {
	lis = meteredListener{lis}
	if keys != nil {
		lis = tls.NewListener(lis, keys.ServerConfig())
	}
	options := managerOptions()
	options.InactivityTimeout = inactivity
	srv := drpcserver.NewWithOptions(meteredHandler{mux}, drpcserver.Options{
		Manager: options,
		Log: func(err error) {
			log.Debug("peer connection failed", "error", err)
		},
	})
	return srv.Serve(ctx, lis)
}
