package wirefuzz

import (
	"context"
	"errors"
	"log/slog"
	"net"
	"sync"
	"testing"

	"storj.io/drpc/drpcconn"
	"storj.io/drpc/drpcmux"

	"comfreyrelay.example/relay/peer"
	"comfreyrelay.example/relay/wire"
)

// pipeListener accepts in-process connections, so that a test sees exactly what
// the server reads.
type pipeListener struct {
	conns  chan net.Conn
	closed chan struct{}
	once   sync.Once
}

func newPipeListener() *pipeListener {
	return &pipeListener{conns: make(chan net.Conn), closed: make(chan struct{})}
}

// Accept implements net.Listener.
func (l *pipeListener) Accept() (net.Conn, error) {
	select {
	case conn := <-l.conns:
		return conn, nil
	case <-l.closed:
		return nil, net.ErrClosed
	}
}

// Close implements net.Listener.
func (l *pipeListener) Close() error {
	l.once.Do(func() { close(l.closed) })
	return nil
}

// Addr implements net.Listener.
func (l *pipeListener) Addr() net.Addr { return &net.UnixAddr{Name: "pipe", Net: "unix"} }

// dial returns the client's end of a new connection.
func (l *pipeListener) dial() net.Conn {
	client, server := net.Pipe()
	l.conns <- server
	return client
}

// hostServer implements the agents' calls with minimal replies.
type hostServer struct {
	wire.DRPCHostUnimplementedServer
}

func (*hostServer) Run(att *wire.Attempt, stream wire.DRPCHost_RunStream) error {
	if err := stream.Send(&wire.Frame{RequestId: att.GetRequestId(), Kind: "begin"}); err != nil {
		return err
	}
	return stream.Send(&wire.Frame{RequestId: att.GetRequestId(), Sequence: 1, Kind: "end"})
}

func (*hostServer) Cancel(context.Context, *wire.CancelRequest) (*wire.CancelReply, error) {
	return nil, errors.New("nothing runs")
}

func (*hostServer) Chunk(_ *wire.ChunkRequest, stream wire.DRPCHost_ChunkStream) error {
	return stream.Send(&wire.ChunkData{})
}

func (*hostServer) Have(_ context.Context, req *wire.HaveRequest) (*wire.HaveReply, error) {
	return &wire.HaveReply{Chunks: req.GetChunks()}, nil
}

// controlServer implements the entries' calls with minimal replies.
type controlServer struct {
	wire.DRPCControlUnimplementedServer
}

func (*controlServer) Sync(_ context.Context, req *wire.SyncRequest) (*wire.SyncReply, error) {
	return &wire.SyncReply{Known: req.GetKnown(), Root: req.GetRoot()}, nil
}

func (*controlServer) Claim(_ context.Context, req *wire.ClaimRequest) (*wire.ClaimReply, error) {
	return &wire.ClaimReply{State: "granted", Reason: req.GetKey()}, nil
}

// testServer serves hostServer and controlServer on a pipeListener.
type testServer struct {
	listener *pipeListener
	// stop stops the server and waits for its goroutines.
	stop func()
}

func serve(t testing.TB) *testServer {
	t.Helper()
	mux := drpcmux.New()
	if err := errors.Join(wire.DRPCRegisterHost(mux, &hostServer{}), wire.DRPCRegisterControl(mux, &controlServer{})); err != nil {
		t.Fatal(err)
	}
	ctx, cancel := context.WithCancel(context.Background())
	lis := newPipeListener()
	var done sync.WaitGroup
	done.Go(func() { _ = peer.Serve(ctx, lis, nil, mux, slog.New(slog.DiscardHandler)) })
	return &testServer{listener: lis, stop: func() {
		cancel()
		done.Wait()
	}}
}

// client is a well-behaved peer that malformed input on other connections must
// not affect.
type client struct {
	conn *drpcconn.Conn
}

func (s *testServer) newClient() *client { return &client{conn: drpcconn.New(s.listener.dial())} }

// checkCall makes a call and checks its answer.
func (c *client) checkCall(t testing.TB) {
	t.Helper()
	reply, err := wire.NewDRPCHostClient(c.conn).Have(context.Background(), &wire.HaveRequest{Chunks: []uint64{7}})
	if err != nil {
		t.Fatalf("got %v from the other connection, want an answer", err)
	}
	if got := reply.GetChunks(); len(got) != 1 || got[0] != 7 {
		t.Fatalf("got %v on the other connection, want its own answer", got)
	}
}
