package onsite

import (
	"context"
	"log/slog"
	"net"
	"net/http"
	"net/http/httptest"
	"testing"

	"github.com/jonboulle/clockwork"
	"storj.io/drpc/drpcconn"
	"storj.io/drpc/drpcmux"

	"comfreyrelay.example/platform"
	"comfreyrelay.example/platform/platformtest"
	"comfreyrelay.example/relay/peer"
	"comfreyrelay.example/relay/wire"
)

// BenchmarkPoll measures the cost of one poll of the engine, of which an agent makes up to 33
// per second. It includes the test engine's share, over loopback.
func BenchmarkPoll(b *testing.B) {
	engine := platformtest.NewEngine(testModel, 1, nil)
	server := httptest.NewServer(engine)
	defer server.Close()
	local := &http.Client{Transport: &http.Transport{MaxIdleConnsPerHost: 4, DisableCompression: true}}
	poller := newEnginePoller(platform.NewEngine(server.URL, local), clockwork.NewRealClock(), slog.New(slog.DiscardHandler))
	b.ReportAllocs()
	for b.Loop() {
		poller.poll(context.Background())
	}
}

// echoFeed answers each message with a state immediately.
type echoFeed struct{ poller *enginePoller }

func (f *echoFeed) Follow(stream wire.DRPCFeed_FollowStream) error {
	for {
		if _, err := stream.Recv(); err != nil {
			return err
		}
		state := f.poller.message()
		if err := stream.Send(state); err != nil {
			return err
		}
	}
}

// BenchmarkState measures one message from an entry and one state from an agent, with both
// ends on loopback.
func BenchmarkState(b *testing.B) {
	lis, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		b.Fatal(err)
	}
	poller := newEnginePoller(nil, clockwork.NewRealClock(), slog.New(slog.DiscardHandler))
	poller.state = platform.EngineReport{Loaded: map[string]uint64{testModel: 1}, Running: 5}
	ctx, cancel := context.WithCancel(context.Background())
	defer cancel()
	go func() { _ = serveFeed(ctx, lis, &echoFeed{poller}) }()
	raw, err := net.Dial("tcp", lis.Addr().String())
	if err != nil {
		b.Fatal(err)
	}
	conn := drpcconn.New(raw)
	defer func() { _ = conn.Close() }()
	stream, err := wire.NewDRPCFeedClient(conn).Follow(ctx)
	if err != nil {
		b.Fatal(err)
	}
	b.ReportAllocs()
	for b.Loop() {
		if err := stream.Send(&wire.Guidance{ReadingOnly: true, Reading: 5, SentMillis: 123456}); err != nil {
			b.Fatal(err)
		}
		if _, err := stream.Recv(); err != nil {
			b.Fatal(err)
		}
	}
}

// serveFeed serves a Feed service on the listener until ctx is done.
func serveFeed(ctx context.Context, lis net.Listener, feed wire.DRPCFeedServer) error {
	mux := drpcmux.New()
	if err := wire.DRPCRegisterFeed(mux, feed); err != nil {
		return err
	}
	return peer.Serve(ctx, lis, nil, mux, slog.New(slog.DiscardHandler))
}
