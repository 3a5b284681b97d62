package peer

import (
	"context"
	"errors"
	"net"
	"sync/atomic"
	"testing"

	"comfreyrelay.example/relay/wire"
)

// recordingListener records the connections that it accepts, so that a test can
// close them.
type recordingListener struct {
	net.Listener

	conns chan net.Conn
}

func (l recordingListener) Accept() (net.Conn, error) {
	conn, err := l.Listener.Accept()
	if err == nil {
		l.conns <- conn
	}
	return conn, err
}

// Symptom: a request marked as not repeatable ran twice. Sequence: the peer
// crashes while it runs a call, and a library sends the call again on another
// connection. Cause: the library treats every broken connection as a stale one.
func TestCallToDyingPeerIsNotSentAgain(t *testing.T) {
	var started atomic.Int32
	lis := recordingListener{listen(t, "127.0.0.1:0"), make(chan net.Conn, 16)}
	server := &hostServer{have: func(context.Context, *wire.HaveRequest) (*wire.HaveReply, error) {
		if started.Add(1) > 1 {
			return &wire.HaveReply{}, nil
		}
		_ = (<-lis.conns).Close()
		return &wire.HaveReply{}, nil
	}}
	stop := serve(t, lis, nil, server)
	if err := call(t, nil, lis.Addr().String()); err == nil {
		t.Error("got no error from a peer that crashed during the call, want one")
	}
	stop()
	if got, want := started.Load(), int32(1); got != want {
		t.Errorf("got the call started %d times, want %d", got, want)
	}
}

// Symptom: a request marked as not repeatable ran twice, as a stream. Sequence: the
// peer crashes after the first frame. Cause: reopening a stream repeats its request.
func TestStreamOfDyingPeerBreaks(t *testing.T) {
	var started atomic.Int32
	lis := recordingListener{listen(t, "127.0.0.1:0"), make(chan net.Conn, 16)}
	server := &hostServer{run: func(_ *wire.Attempt, stream wire.DRPCHost_RunStream) error {
		started.Add(1)
		if err := stream.Send(&wire.Frame{Kind: "begin"}); err != nil {
			return err
		}
		return (<-lis.conns).Close()
	}}
	serve(t, lis, nil, server)
	pool := NewPool(nil)
	defer pool.Close()
	stream, err := wire.NewDRPCHostClient(pool.Conn(t.Context(), lis.Addr().String())).Run(t.Context(), &wire.Attempt{})
	if err != nil {
		t.Fatal(err)
	}
	frames := 0
	for err == nil {
		if _, err = stream.Recv(); err == nil {
			frames++
		}
	}
	if frames > 1 || started.Load() != 1 {
		t.Errorf("got %d frames of %d runs, want at most 1 of 1", frames, started.Load())
	}
}

// Symptom: the first call after a peer's restart ran twice or hung. Sequence:
// the pool holds a connection to a process that is replaced at the same address.
// Cause: the pool uses its idle connection without checking it.
func TestReplacedPeer(t *testing.T) {
	var started atomic.Int32
	counting := &hostServer{have: func(context.Context, *wire.HaveRequest) (*wire.HaveReply, error) {
		started.Add(1)
		return &wire.HaveReply{}, nil
	}}
	lis := listen(t, "127.0.0.1:0")
	stop := serve(t, lis, nil, counting)
	pool := NewPool(nil)
	defer pool.Close()
	client := wire.NewDRPCHostClient(pool.Conn(t.Context(), lis.Addr().String()))
	if _, err := client.Have(t.Context(), &wire.HaveRequest{}); err != nil {
		t.Fatal(err)
	}
	stop()
	if _, err := client.Have(t.Context(), &wire.HaveRequest{}); err == nil {
		t.Error("got an answer without a listener, want an error")
	}
	serve(t, listen(t, lis.Addr().String()), nil, counting)
	if _, err := client.Have(t.Context(), &wire.HaveRequest{}); err != nil {
		t.Errorf("got %v from the replaced peer, want an answer", err)
	}
	if got, want := started.Load(), int32(2); got != want {
		t.Errorf("got %d runs for 2 calls that were answered, want %d", got, want)
	}
}

func TestDialOfNobodyFails(t *testing.T) {
	lis := listen(t, "127.0.0.1:0")
	address := lis.Addr().String()
	_ = lis.Close()
	if err := call(t, nil, address); err == nil {
		t.Error("got no error, want one")
	}
	ctx, cancel := context.WithCancel(t.Context())
	cancel()
	pool := NewPool(nil)
	defer pool.Close()
	_, err := wire.NewDRPCHostClient(pool.Conn(ctx, address)).Have(ctx, &wire.HaveRequest{})
	if !errors.Is(err, context.Canceled) {
		t.Errorf("got %v with a cancelled context, want context.Canceled", err)
	}
}
