package callers

import (
	"bytes"
	"context"
	"crypto/sha256"
	"encoding/hex"
	"encoding/json"
	"io"
	"log/slog"
	"net"
	"net/http"
	"net/http/httptest"
	"strings"
	"sync"
	"testing"
	"time"

	"github.com/go-chi/chi/v5"
	"github.com/google/uuid"
	"github.com/jonboulle/clockwork"
	"google.golang.org/protobuf/types/known/durationpb"
	"storj.io/drpc/drpcmux"

	"comfreyrelay.example/entry/internal/dispatch"
	relaycall "comfreyrelay.example/relay/call"
	"comfreyrelay.example/relay/kv"
	"comfreyrelay.example/relay/peer"
	"comfreyrelay.example/relay/view"
	"comfreyrelay.example/relay/wire"
)

const (
	testKey      = "quetzal-key"
	otherKey     = "lindner-key"
	testCustomer = "quetzal"
	testVersion  = "v1"
)

// fakeAgent is an agent that records attempts and answers them with run.
type fakeAgent struct {
	wire.DRPCHostUnimplementedServer
	node *wire.Node
	run  func(att *wire.Attempt, stream wire.DRPCHost_RunStream) error
	// cancelState is the state that Cancel replies.
	cancelState string

	mu       sync.Mutex
	attempts []*wire.Attempt
	cancels  []*wire.CancelRequest
}

func (a *fakeAgent) Run(att *wire.Attempt, stream wire.DRPCHost_RunStream) error {
	a.mu.Lock()
	a.attempts = append(a.attempts, att)
	a.mu.Unlock()
	return a.run(att, stream)
}

func (a *fakeAgent) Cancel(_ context.Context, req *wire.CancelRequest) (*wire.CancelReply, error) {
	a.mu.Lock()
	defer a.mu.Unlock()
	a.cancels = append(a.cancels, req)
	return &wire.CancelReply{State: a.cancelState}, nil
}

// recordedAttempts returns the attempts that the agent has received.
func (a *fakeAgent) recordedAttempts() []*wire.Attempt {
	a.mu.Lock()
	defer a.mu.Unlock()
	return append([]*wire.Attempt(nil), a.attempts...)
}

// report returns the host's report: it serves testVersion of the model with 8 slots.
func (a *fakeAgent) report() *wire.HostReport {
	return &wire.HostReport{
		Node:     a.node,
		Sequence: 1,
		Slots:    8,
		Versions: []*wire.VersionState{{Model: "parcel", Version: testVersion, State: "serving"}},
	}
}

// frames sends the frames of one attempt, numbered in sequence.
type frames struct {
	att    *wire.Attempt
	stream wire.DRPCHost_RunStream
	next   uint32
}

func (f *frames) send(frame *wire.Frame) error {
	frame.RequestId, frame.Attempt, frame.Sequence = f.att.GetRequestId(), f.att.GetAttempt(), f.next
	f.next++
	return f.stream.Send(frame)
}

// answer returns a run function that sends a complete answer with the words as
// tokens, except those that the attempt resumes after.
func answer(words ...string) func(*wire.Attempt, wire.DRPCHost_RunStream) error {
	return func(att *wire.Attempt, stream wire.DRPCHost_RunStream) error {
		out := &frames{att: att, stream: stream}
		_ = out.send(&wire.Frame{Kind: "begin", Version: att.GetVersion()})
		rest := words[len(att.GetResumeTokens()):]
		for _, word := range rest {
			_ = out.send(&wire.Frame{Kind: "tokens", Tokens: []string{word}})
		}
		return out.send(&wire.Frame{Kind: "end", Version: att.GetVersion(), Digest: dispatch.DigestOf(words)})
	}
}

// refuse returns a run function that refuses the attempt.
func refuse(reason string) func(*wire.Attempt, wire.DRPCHost_RunStream) error {
	return func(att *wire.Attempt, stream wire.DRPCHost_RunStream) error {
		out := &frames{att: att, stream: stream}
		return out.send(&wire.Frame{Kind: "refused", Reason: reason, RetryAfterMillis: 1})
	}
}

// breakOff returns a run function that sends the words and then fails without an
// end frame.
func breakOff(words ...string) func(*wire.Attempt, wire.DRPCHost_RunStream) error {
	return func(att *wire.Attempt, stream wire.DRPCHost_RunStream) error {
		out := &frames{att: att, stream: stream}
		_ = out.send(&wire.Frame{Kind: "begin", Version: att.GetVersion()})
		for _, word := range words {
			_ = out.send(&wire.Frame{Kind: "tokens", Tokens: []string{word}})
		}
		return io.ErrUnexpectedEOF
	}
}

// testDeployment is a deployment of fake agents and real Servers on loopback.
type testDeployment struct {
	t            testing.TB
	agents       []*fakeAgent
	entries      []*testEntry
	store        *kv.Store
	clock        clockwork.Clock
	model        *wire.Model
	editCustomer func(*wire.Customer)
}

type testEntry struct {
	srv  *Server
	node *wire.Node
	http *httptest.Server
	view *view.Holder
}

func newTestDeployment(t testing.TB) *testDeployment {
	clock := clockwork.NewRealClock()
	return &testDeployment{
		t: t, clock: clock, store: kv.NewMemory(clock),
		model: &wire.Model{Name: "parcel", Version: testVersion, Customers: []string{testCustomer}},
	}
}

// addAgent adds a host whose agent handles attempts with run.
func (d *testDeployment) addAgent(id string, run func(*wire.Attempt, wire.DRPCHost_RunStream) error) *fakeAgent {
	agent := &fakeAgent{run: run, cancelState: "neverBegun"}
	address := d.serve(func(mux *drpcmux.Mux) error { return wire.DRPCRegisterHost(mux, agent) })
	agent.node = &wire.Node{
		Id: id, Incarnation: uuid.Must(uuid.NewV7()).String(), Role: "agent",
		Region: "gt", FailureDomain: "zona-uno", ControlAddress: address,
	}
	d.agents = append(d.agents, agent)
	return agent
}

// serve starts a DRPC server on loopback and returns its address.
func (d *testDeployment) serve(register func(*drpcmux.Mux) error) string {
	d.t.Helper()
	lis, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		d.t.Fatal(err)
	}
	mux := drpcmux.New()
	if err := register(mux); err != nil {
		d.t.Fatal(err)
	}
	ctx, cancel := context.WithCancel(context.Background())
	done := make(chan struct{})
	go func() {
		defer close(done)
		_ = peer.Serve(ctx, lis, nil, mux, slog.New(slog.DiscardHandler))
	}()
	d.t.Cleanup(func() { cancel(); <-done })
	return lis.Addr().String()
}

// controlServer serves only the once-key methods of an entry's control API.
type controlServer struct {
	wire.DRPCControlUnimplementedServer
	srv *Server
}

func (c *controlServer) Claim(ctx context.Context, req *wire.ClaimRequest) (*wire.ClaimReply, error) {
	return c.srv.Claim(ctx, req)
}

func (c *controlServer) Settle(ctx context.Context, req *wire.SettleRequest) (*wire.SettleReply, error) {
	return c.srv.Settle(ctx, req)
}

// addEntry adds an entry that serves callers and other entries.
func (d *testDeployment) addEntry(id string) *testEntry {
	entry := &testEntry{view: view.NewHolder()}
	router := chi.NewRouter()
	entry.http = httptest.NewServer(router)
	d.t.Cleanup(entry.http.Close)
	entry.node = &wire.Node{
		Id: id, Incarnation: uuid.Must(uuid.NewV7()).String(), Role: "entry",
		Region: "gt", FailureDomain: "zona-uno",
		CallersAddress: strings.TrimPrefix(entry.http.URL, "http://"),
	}
	control := &controlServer{}
	entry.node.ControlAddress = d.serve(func(mux *drpcmux.Mux) error { return wire.DRPCRegisterControl(mux, control) })
	pool := peer.NewPool(nil)
	d.t.Cleanup(func() { _ = pool.Close() })
	entry.srv = New(Config{
		Self: entry.node, View: entry.view, Pool: pool, Store: d.store, Clock: d.clock,
		Log: slog.New(slog.DiscardHandler), Seed: 1, PanicOnBug: true,
	})
	control.srv = entry.srv
	entry.srv.Routes(router)
	d.entries = append(d.entries, entry)
	return entry
}

// document returns a document with one model, one service and two customers, of
// which only testCustomer may use them.
func (d *testDeployment) document() *wire.Document {
	sum := func(key string) string {
		hash := sha256.Sum256([]byte(key))
		return hex.EncodeToString(hash[:])
	}
	quetzal := &wire.Customer{Name: testCustomer, KeyHashes: []string{sum(testKey)}}
	if d.editCustomer != nil {
		d.editCustomer(quetzal)
	}
	return &wire.Document{
		Models:    []*wire.Model{d.model},
		Customers: []*wire.Customer{quetzal, {Name: "lindner", KeyHashes: []string{sum(otherKey)}}},
		Endpoints: []*wire.EndpointClass{{Name: "bridge", Kind: "bridge"}},
		Services:  []*wire.Service{{Name: "ledger", Endpoint: "bridge", Customers: []string{testCustomer}}},
		Deadlines: &wire.Deadlines{DefaultRequest: durationpb.New(5 * time.Second), MaxRequest: durationpb.New(10 * time.Second)},
	}
}

// publish stores all hosts and entries in the view of every entry.
func (d *testDeployment) publish() {
	document := d.document()
	var hosts []view.Host
	for _, agent := range d.agents {
		hosts = append(hosts, view.NewHost(agent.report(), d.clock.Now(), false, false))
	}
	var entries []view.Peer
	for _, entry := range d.entries {
		entries = append(entries, view.NewPeer(&wire.EntryReport{Node: entry.node}, d.clock.Now(), false, false))
	}
	for _, entry := range d.entries {
		entry.view.Store(&view.Snapshot{Revision: 1, PlanRevision: 1, Document: document, Hosts: hosts, Entries: entries})
	}
}

// reply is the response to a caller, decoded both as an answer and as an error.
type reply struct {
	status int
	raw    string
	answer answerBody
	failed errorBody
}

// requestFields returns the body of a request to the model; change overrides its
// fields.
func requestFields(change map[string]any) map[string]any {
	fields := map[string]any{"model": "parcel", "prompt": "Envelope 7", "maxTokens": 8, "repeatable": true}
	for name, value := range change {
		fields[name] = value
	}
	return fields
}

// post sends a request with testKey; header holds pairs of name and value.
func (e *testEntry) post(t testing.TB, path string, fields map[string]any, header ...string) reply {
	t.Helper()
	raw, err := json.Marshal(fields)
	if err != nil {
		t.Fatal(err)
	}
	req, err := http.NewRequest(http.MethodPost, e.http.URL+path, bytes.NewReader(raw))
	if err != nil {
		t.Fatal(err)
	}
	req.Header.Set("Authorization", "Bearer "+testKey)
	for i := 0; i+1 < len(header); i += 2 {
		req.Header.Set(header[i], header[i+1])
	}
	got, err := http.DefaultClient.Do(req)
	if err != nil {
		t.Fatal(err)
	}
	defer got.Body.Close()
	text, err := io.ReadAll(got.Body)
	if err != nil {
		t.Fatal(err)
	}
	result := reply{status: got.StatusCode, raw: string(text)}
	_ = json.Unmarshal(text, &result.answer)
	_ = json.Unmarshal(text, &result.failed)
	return result
}

// request sends a request to the model; see requestFields and post.
func (e *testEntry) request(t testing.TB, change map[string]any, header ...string) reply {
	t.Helper()
	return e.post(t, "/v1/requests", requestFields(change), header...)
}

// newOnceKey makes a once key that the entry owns.
func newOnceKey(owner *testEntry) string {
	return owner.node.GetIncarnation() + "." + uuid.Must(uuid.NewV7()).String()
}

// expect fails the test unless the reply has the status and the outcome.
func expect(t testing.TB, got reply, status int, outcome dispatch.Outcome) {
	t.Helper()
	if got.status != status || got.answer.Outcome != outcome {
		t.Fatalf("got status %d outcome %q, want %d %q: %s", got.status, got.answer.Outcome, status, outcome, got.raw)
	}
	if got.answer.Outcome == dispatch.Unknown && relaycall.PromisesNotRun(got.status) {
		t.Errorf("got status %d for a request that may have run, want one that does not promise the opposite", got.status)
	}
}
