package peer

import (
	"context"
	"log/slog"
	"net"
	"testing"
	"time"

	"github.com/jonboulle/clockwork"
	"storj.io/drpc/drpcmux"
	"storj.io/drpc/drpcwire"
)

// closeNotifyConn signals when the server closes the connection.
type closeNotifyConn struct {
	net.Conn

	closed chan struct{}
}

func (c closeNotifyConn) Close() error {
	defer close(c.closed)
	return c.Conn.Close()
}

// closeNotifyListener wraps accepted connections in closeNotifyConn.
type closeNotifyListener struct {
	net.Listener

	closed chan struct{}
}

func (l closeNotifyListener) Accept() (net.Conn, error) {
	conn, err := l.Listener.Accept()
	if err != nil {
		return nil, err
	}
	return closeNotifyConn{conn, l.closed}, nil
}

// Symptom: a process runs out of file descriptors. Sequence: a peer's first frame
// begins no call, or its TLS handshake never completes, and the peer disconnects.
// Cause: the server waits for the call and does not read, so it misses the end of
// the connection.
func TestConnectionWithoutCallIsClosed(t *testing.T) {
	message := drpcwire.AppendFrame(nil, drpcwire.Frame{
		ID: drpcwire.ID{Stream: 1, Message: 1}, Kind: drpcwire.KindMessage, Done: true,
	})
	keys := loadKeys(t, newAuthority(t).issue(t, t.TempDir(), "entry-1", RoleEntry), clockwork.NewRealClock())
	tests := []struct {
		name  string
		keys  *Keys
		first []byte
	}{{"message first", nil, message}, {"no handshake", keys, nil}}
	for _, test := range tests {
		t.Run(test.name, func(t *testing.T) {
			lis := closeNotifyListener{listen(t, "127.0.0.1:0"), make(chan struct{})}
			ctx, cancel := context.WithCancel(context.Background())
			done := make(chan struct{})
			go func() {
				defer close(done)
				_ = serveWithTimeout(ctx, lis, test.keys, drpcmux.New(), slog.New(slog.DiscardHandler), 10*time.Millisecond)
			}()
			conn, err := net.Dial("tcp", lis.Addr().String())
			if err != nil {
				t.Fatal(err)
			}
			defer func() { _ = conn.Close() }()
			if _, err := conn.Write(test.first); err != nil {
				t.Fatal(err)
			}
			<-lis.closed // if it is never closed, the test's timeout fails it
			cancel()
			<-done
		})
	}
}
