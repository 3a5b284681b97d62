package control

import (
	"context"
	"io"
	"log/slog"
	"testing"

	"github.com/jonboulle/clockwork"
	"google.golang.org/protobuf/proto"

	"comfreyrelay.example/entry/internal/store"
	"comfreyrelay.example/relay/view"
	"comfreyrelay.example/relay/wire"
)

// newIsolatedEntry returns an entry without peers that only the fuzzer calls.
func newIsolatedEntry() (*Server, *Exchange) {
	clock := clockwork.NewFakeClock()
	self := &wire.Node{Id: "entry-0", Incarnation: "i1", Role: "entry"}
	deployment := NewDeployment(self, store.NewPartCache(1<<20), view.NewHolder(), clock, slog.New(slog.NewTextHandler(io.Discard, nil)))
	report := &wire.EntryReport{Node: self, Sequence: 1}
	exchange := NewExchange(deployment, func() *wire.EntryReport { return report })
	return NewServer(exchange, Delegate{}, false, func(*wire.Node) {}), exchange
}

// seed adds the encoded messages to the corpus.
func seed(f *testing.F, messages ...proto.Message) {
	f.Helper()
	for _, message := range messages {
		encoded, err := proto.Marshal(message)
		if err != nil {
			f.Fatal(err)
		}
		f.Add(encoded)
	}
}

// FuzzSync checks that any request is answered or rejected, and that no single
// message puts a root in force.
func FuzzSync(f *testing.F) {
	agent := &wire.Node{Id: "agent-0", Incarnation: "i1", Role: "agent", FailureDomain: "a"}
	peer := &wire.Node{Id: "entry-1", Incarnation: "i1", Role: "entry", ControlAddress: "127.0.0.1:1"}
	root := &wire.Root{Revision: 3, DeltaBase: 2, Parts: []*wire.Part{{Name: "head", Hash: "x"}}, Removed: []string{"head"}}
	seed(f,
		&wire.SyncRequest{},
		&wire.SyncRequest{From: agent, Hosts: []*wire.HostReport{{Node: agent, Sequence: 1}}, Root: root, Parts: [][]byte{nil}},
		&wire.SyncRequest{From: agent, Known: &wire.Known{Revision: 9, AgeMillis: ^uint64(0)}, Root: root},
		&wire.SyncRequest{From: peer, KnownOnly: true, DeltaRoots: true, Hosts: []*wire.HostReport{{}, {Node: agent, Lost: true, AgeMillis: ^uint32(0)}},
			Entries: []*wire.EntryReport{{}, {Node: peer, Draining: true}}})
	f.Fuzz(func(t *testing.T, encoded []byte) {
		req := &wire.SyncRequest{}
		if proto.Unmarshal(encoded, req) != nil {
			return
		}
		req.WaitMillis = 0
		server, _ := newIsolatedEntry()
		if _, err := server.Sync(context.Background(), req); err == nil && server.deployment.Root() != nil {
			t.Errorf("got a root in force from one message, want none")
		}
	})
}

// FuzzReply checks that no reply of another entry puts a document in force without
// its parts.
func FuzzReply(f *testing.F) {
	seed(f,
		&wire.SyncReply{},
		&wire.SyncReply{Root: &wire.Root{Revision: 1}, Plan: &wire.Plan{PlanRevision: 2}, Drains: &wire.DrainMarks{Revision: 1, Hosts: []string{"a"}}},
		&wire.SyncReply{Known: &wire.Known{AgeMillis: 1 << 62}, Root: &wire.Root{Revision: 7, DeltaBase: 1, Audit: &wire.Audit{ContentHash: "x"}}})
	f.Fuzz(func(t *testing.T, encoded []byte) {
		reply := &wire.SyncReply{}
		if proto.Unmarshal(encoded, reply) != nil {
			return
		}
		_, exchange := newIsolatedEntry()
		with := exchange.sessions.forNode(&wire.Node{Id: "entry-1"}, exchange.deployment.clock.Now())
		exchange.applyReply(context.Background(), with, reply, func(context.Context, []string) ([][]byte, error) { return nil, nil })
		if root := exchange.deployment.Root(); root != nil {
			t.Errorf("got %v in force without its parts, want none", root)
		}
		NewPublisher(exchange.deployment, exchange.ownReport).Build()
	})
}
