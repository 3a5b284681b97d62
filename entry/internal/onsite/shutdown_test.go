package onsite

import (
	"bufio"
	"context"
	"errors"
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

// Guards against a planned stop that cuts off requests without an answer: one that an endpoint still works
// on at the end of the grace period, and one whose body has not arrived by then.
func TestPlannedStopAnswersRequestsInProgress(t *testing.T) {
	hold := make(chan struct{})
	f := newTestFleet(t, 0, 1, func([]byte) { <-hold })
	t.Cleanup(func() { close(hold) })
	f.bounds.GraceMillis = 3500
	stopped := f.start()
	reading, err := net.Dial("tcp", stopped.cfg.GetCallersAddress())
	if err != nil {
		t.Fatal(err)
	}
	defer func() { _ = reading.Close() }()
	_, _ = io.WriteString(reading, "POST /x/z HTTP/1.1\r\nHost: a.example\r\nX-Attempt-Id: reading\r\nAuthorization: Bearer key-1\r\nContent-Length: 4\r\n\r\n")
	held := make(chan int, 1)
	go func() { held <- f.send(stopped, "held") }()
	eventually(t, "the endpoint has a request", func() error {
		if f.workers[0].RequestCount("held") == 0 {
			return errors.New("none yet")
		}
		return nil
	})
	stopped.drain()
	if got := <-held; got != http.StatusGatewayTimeout {
		t.Errorf("got status %d for a request that an endpoint works on, want 504", got)
	}
	resp, err := http.ReadResponse(bufio.NewReader(reading), nil)
	if err != nil {
		t.Fatalf("got %v for a request whose body did not arrive, want an answer", err)
	}
	if resp.StatusCode != http.StatusRequestTimeout {
		t.Errorf("got status %d for a request whose body did not arrive, want 408", resp.StatusCode)
	}
}
