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
	// stopTimeout is how long calls in progress may take to finish after SIGTERM.
	stopTimeout = 2 * time.Second
	// headerTimeout limits how long a client may take to send the request header.
	headerTimeout = 10 * time.Second
)

// serve serves HTTP on the address until ctx is done. Once it listens, it prints
// "listening address=ip:port", so that callers who pass port 0 learn the port.
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

// stop waits up to stopTimeout for calls to finish and closes the remaining
// connections, such as those of long-polling watches.
func stop(server *http.Server) {
	ctx, cancel := context.WithTimeout(context.Background(), stopTimeout)
	defer cancel()
	if server.Shutdown(ctx) != nil {
		server.Close()
	}
}
