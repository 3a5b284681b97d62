package upstream

import (
	"context"
	"errors"
	"io"
	"net"
	"net/http"
	"strings"
	"syscall"
	"testing"
	"time"
)

// Guards against requests that reach endpoints up to a second after their callers
// left (rule GONE of the platform). The link to an endpoint's host is slow, so the
// sent data is queued; the caller leaves and the connection is closed, but an
// orderly close makes the kernel deliver the queue first. The endpoint in this test
// reads nothing until the request was cancelled, so most of it is still in the
// sender's kernel.
func TestCancelledRequestIsNotDelivered(t *testing.T) {
	lis, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	defer func() { _ = lis.Close() }()
	pool := NewPool(time.Now)
	conn, err := pool.Get(context.Background(), Target{Address: lis.Addr().String()}, "id")
	if err != nil {
		t.Fatal(err)
	}
	peer, err := lis.Accept()
	if err != nil {
		t.Fatal(err)
	}
	defer func() { _ = peer.Close() }()
	const size = 64 << 20
	req, err := http.NewRequest(http.MethodPost, "http://h/", strings.NewReader(strings.Repeat("x", size)))
	if err != nil {
		t.Fatal(err)
	}
	release := time.AfterFunc(50*time.Millisecond, conn.Cancel)
	defer release.Stop()
	if err := conn.Send("id", req, time.Now().Add(time.Minute)); err == nil {
		t.Fatal("got no error from Send, want one: the peer read nothing")
	}
	conn.Close()
	got, err := io.Copy(io.Discard, peer)
	if !errors.Is(err, syscall.ECONNRESET) {
		t.Errorf("got %d bytes and then %v, want the connection reset", got, err)
	}
}
