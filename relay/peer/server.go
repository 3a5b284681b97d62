package peer

import (
	"context"
	"crypto/tls"
	"log/slog"
	"net"

	"storj.io/drpc/drpcmux"
	"storj.io/drpc/drpcserver"
)

// Serve answers drpc calls on the listener until ctx ends. Nil keys mean clear
// text.
func Serve(ctx context.Context, lis net.Listener, keys *Keys, mux *drpcmux.Mux, log *slog.Logger) error {
	lis = meteredListener{lis}
	if keys != nil {
		lis = tls.NewListener(lis, keys.ServerConfig())
	}
	srv := drpcserver.NewWithOptions(meteredHandler{mux}, drpcserver.Options{
		Manager: managerOptions(),
		Log: func(err error) {
			log.Debug("peer connection failed", "error", err)
		},
	})
	return srv.Serve(ctx, lis)
}
