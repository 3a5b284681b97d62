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

// Symptom: requests reach endpoints up to a second after their callers left (GONE
// of the platform's rules). Sequence: the link to an endpoint's host is squeezed
// and what was sent stands in a queue; the caller leaves, the connection is closed,
// and the kernel goes on delivering what it holds before the close. Cause: an
// orderly close promises just that. The endpoint here reads nothing until the
// request was given up, so that most of it stands in our kernel.
func TestCancelledRequestIsNotDelivered(t *testing.T) {
	lis, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	defer func() { _ = lis.Close() }()
	pool := NewPool(time.Now)
	conn, err := pool.Get(context.Background(), Target{Address: lis.Addr().String()})
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
	if err := conn.Send(req, time.Now().Add(time.Minute)); err == nil {
		t.Fatal("got a request sent that nobody read")
	}
	conn.Close()
	got, err := io.Copy(io.Discard, peer)
	if !errors.Is(err, syscall.ECONNRESET) {
		t.Errorf("got %d bytes and then %v, want the connection reset", got, err)
	}
}
