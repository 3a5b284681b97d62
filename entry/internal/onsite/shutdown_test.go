package onsite

import (
	"context"
	"io"
	"log/slog"
	"net"
	"net/http"
	"testing"
	"time"

	"golang.org/x/sync/errgroup"
)

// slowListener accepts connections whose writes are delayed, as in a process that gets little CPU
// time.
type slowListener struct{ net.Listener }

func (l slowListener) Accept() (net.Conn, error) {
	conn, err := l.Listener.Accept()
	return slowConn{conn}, err
}

type slowConn struct{ net.Conn }

func (c slowConn) Write(bytes []byte) (int, error) {
	time.Sleep(100 * time.Millisecond)
	return c.Conn.Write(bytes)
}

// Guards against a response that is lost although its request was served: the entry exits when
// its last handler returns, but net/http writes the end of the response only after that.
func TestShutdownWritesLastAnswerCompletely(t *testing.T) {
	lis, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	ctx, end := context.WithCancel(context.Background())
	defer end()
	var group errgroup.Group
	server := &entry{log: slog.New(slog.DiscardHandler)}
	server.serve(ctx, &group, slowListener{lis}, http.HandlerFunc(func(w http.ResponseWriter, _ *http.Request) {
		_, _ = io.WriteString(w, "whole")
		end()
	}))
	resp, err := http.Get("http://" + lis.Addr().String())
	if err != nil {
		t.Fatalf("got %v, want a response", err)
	}
	defer func() { _ = resp.Body.Close() }()
	if body, err := io.ReadAll(resp.Body); err != nil || string(body) != "whole" {
		t.Errorf("got %q, %v; want the complete response", body, err)
	}
	if err := group.Wait(); err != nil {
		t.Errorf("got %v, want no error from serve", err)
	}
}
