package cmd

import (
	"context"
	"errors"
	"fmt"
	"net"
	"net/http"
	"os"
	"time"

	"comfreyrelay.example/relay/failure"
)

const (
	// stopTimeout is what calls in progress get to finish after SIGTERM.
	stopTimeout = 2 * time.Second
	// headerTimeout bounds the time a client takes to send its header.
	headerTimeout = 10 * time.Second
)

// serve answers on the address until the context ends. Once it is ready it
// prints "listening address=ip:port", so that port 0 can be asked for.
func serve(ctx context.Context, listen string, handler http.Handler) error {
	listener, err := net.Listen("tcp", listen)
	if err != nil {
		return failure.Wrap(err, failure.Unavailable, "cannot listen on "+listen, "choose a free address with --listen")
	}
	fmt.Fprintf(os.Stdout, "listening address=%s\n", listener.Addr())
	server := &http.Server{Handler: handler, ReadHeaderTimeout: headerTimeout}
	stopped := context.AfterFunc(ctx, func() { stop(server) })
	defer stopped()
	if err := server.Serve(listener); !errors.Is(err, http.ErrServerClosed) {
		return err
	}
	return nil
}

// stop lets short calls end and cuts off the rest, such as waiting watches.
func stop(server *http.Server) {
	ctx, cancel := context.WithTimeout(context.Background(), stopTimeout)
	defer cancel()
	if server.Shutdown(ctx) != nil {
		server.Close()
	}
}
