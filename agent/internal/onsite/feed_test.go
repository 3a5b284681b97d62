package onsite

import (
	"context"
	"errors"
	"log/slog"
	"net"
	"net/http"
	"net/http/httptest"
	"testing"
	"time"

	"github.com/jonboulle/clockwork"
	"storj.io/drpc/drpcconn"

	"comfreyrelay.example/platform"
	"comfreyrelay.example/platform/platformtest"
	"comfreyrelay.example/relay/wire"
)

// Guards against an agent that restarts and reports its engine dead before it has polled it:
// entries then move the engine's streams elsewhere and avoid it for a moment.
func TestStartingAgentDoesNotReportUnpolledEngineDead(t *testing.T) {
	for name, test := range map[string]struct {
		handler func(asked <-chan struct{}) http.Handler
		alive   bool
	}{
		"sound": {func(asked <-chan struct{}) http.Handler {
			engine := platformtest.NewEngine(testModel, 1, nil)
			return http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
				<-asked
				engine.ServeHTTP(w, r)
			})
		}, true},
		"dead": {func(<-chan struct{}) http.Handler {
			return http.HandlerFunc(func(w http.ResponseWriter, _ *http.Request) { w.WriteHeader(http.StatusBadGateway) })
		}, false},
	} {
		t.Run(name, func(t *testing.T) {
			asked := make(chan struct{})
			server := httptest.NewServer(test.handler(asked))
			defer server.Close()
			stream := followNewAgent(t, server.URL)
			time.AfterFunc(50*time.Millisecond, func() { close(asked) })
			state, err := stream.Recv()
			if err != nil {
				t.Fatal(err)
			}
			if got := state.GetAlive(); got != test.alive {
				t.Errorf("got a first state with alive=%t, want %t", got, test.alive)
			}
		})
	}
}

// Guards against entries that go on sending to an engine which reported to its agent that it
// is leaving, until each entry has relayed one of the engine's answers, which say so too.
func TestAgentReportsLeavingEngine(t *testing.T) {
	engine := platformtest.NewEngine(testModel, 1, nil)
	server := httptest.NewServer(engine)
	defer server.Close()
	stream := followNewAgent(t, server.URL)
	first, err := stream.Recv()
	if err != nil {
		t.Fatal(err)
	}
	if first.GetLeaving() {
		t.Errorf("got an engine that is leaving, want one that is not")
	}
	engine.Leave()
	for {
		state, err := stream.Recv()
		if err != nil {
			t.Fatalf("got error %v, want a state of an engine that is leaving", err)
		}
		if state.GetLeaving() {
			return
		}
	}
}

// followNewAgent starts the feed of an agent whose engine serves at the URL, and follows it
// from before the first poll of the engine.
func followNewAgent(t *testing.T, engineURL string) wire.DRPCFeed_FollowClient {
	t.Helper()
	clock, log := clockwork.NewRealClock(), slog.New(slog.DiscardHandler)
	poller := newEnginePoller(platform.NewEngine(engineURL, http.DefaultClient), clock, log)
	server := newFeed(poller, newGuidanceStore(), newPacer(clock.Now), clock)
	lis, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	ctx, cancel := context.WithCancel(context.Background())
	t.Cleanup(cancel)
	go func() {
		if err := serveFeed(ctx, lis, server); err != nil && !errors.Is(err, context.Canceled) {
			t.Error(err)
		}
	}()
	go poller.run(ctx)
	raw, err := net.Dial("tcp", lis.Addr().String())
	if err != nil {
		t.Fatal(err)
	}
	conn := drpcconn.New(raw)
	t.Cleanup(func() { _ = conn.Close() })
	stream, err := wire.NewDRPCFeedClient(conn).Follow(ctx)
	if err != nil {
		t.Fatal(err)
	}
	return stream
}
