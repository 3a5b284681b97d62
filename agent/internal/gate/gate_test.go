package gate

import (
	"context"
	"encoding/hex"
	"encoding/json"
	"expvar"
	"fmt"
	"log/slog"
	"net/http"
	"net/http/httptest"
	"slices"
	"strings"
	"sync"
	"testing"
	"time"

	"github.com/jonboulle/clockwork"
	"github.com/zeebo/blake3"
	"storj.io/drpc"

	"comfreyrelay.example/agent/internal/engine"
	"comfreyrelay.example/relay/drain"
	"comfreyrelay.example/relay/view"
	"comfreyrelay.example/relay/wire"
)

const (
	testModel       = "parcel"
	testVersion     = "v1"
	testIncarnation = "inc-1"
	testCustomer    = "post"
	testClass       = "checked"
)

// fakeEngine answers by functions that a test replaces.
type fakeEngine struct {
	mu       sync.Mutex
	ran      map[string]int // generations and calls begun, by request
	stopped  []string       // requests cancelled
	generate func(w http.ResponseWriter, r *http.Request, emit func(kind string, body any))
	call     http.HandlerFunc
}

func (f *fakeEngine) begun(id string) int {
	f.mu.Lock()
	defer f.mu.Unlock()
	return f.ran[id]
}

func (f *fakeEngine) cancelled(id string) bool {
	f.mu.Lock()
	defer f.mu.Unlock()
	return slices.Contains(f.stopped, id)
}

func (f *fakeEngine) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	body := struct{ RequestID string }{}
	_ = json.NewDecoder(r.Body).Decode(&body)
	f.mu.Lock()
	switch r.URL.Path {
	case "/cancel":
		f.stopped = append(f.stopped, body.RequestID)
	default:
		f.ran[body.RequestID]++
	}
	f.mu.Unlock()
	switch r.URL.Path {
	case "/generate":
		f.generate(w, r, func(kind string, body any) {
			text, _ := json.Marshal(body)
			fmt.Fprintf(w, "event: %s\ndata: %s\n\n", kind, text)
			w.(http.Flusher).Flush()
		})
	case "/call":
		f.call(w, r)
	}
}

// answer emits a whole answer of the version.
func answer(version string, tokens ...string) func(http.ResponseWriter, *http.Request, func(string, any)) {
	return func(_ http.ResponseWriter, _ *http.Request, emit func(string, any)) {
		emit("begin", map[string]any{"version": version})
		for i, token := range tokens {
			emit("token", map[string]any{"i": i, "text": token})
		}
		emit("end", map[string]any{"version": version, "count": len(tokens)})
	}
}

// caller is the entry's end of one attempt.
type caller struct {
	drpc.Stream
	ctx context.Context

	mu     sync.Mutex
	frames []*wire.Frame
	// deaf, if set, is the kind of frame at which the connection breaks.
	deaf string
	// block, if set, is received from before each frame: a slow caller.
	block chan struct{}
}

func newCaller(ctx context.Context) *caller {
	return &caller{ctx: ctx}
}

func (c *caller) Context() context.Context { return c.ctx }

func (c *caller) Send(frame *wire.Frame) error {
	if c.deaf != "" && frame.GetKind() == c.deaf {
		return context.Canceled
	}
	if c.block != nil {
		select {
		case <-c.block:
		case <-c.ctx.Done():
			return c.ctx.Err()
		}
	}
	c.mu.Lock()
	c.frames = append(c.frames, frame)
	c.mu.Unlock()
	return nil
}

func (c *caller) kinds() string {
	c.mu.Lock()
	defer c.mu.Unlock()
	var kinds []string
	for _, frame := range c.frames {
		kind := frame.GetKind()
		if frame.GetReason() != "" {
			kind += ":" + frame.GetReason()
		}
		if len(kinds) > 0 && kinds[len(kinds)-1] == kind {
			continue
		}
		kinds = append(kinds, kind)
	}
	return strings.Join(kinds, " ")
}

func (c *caller) last() *wire.Frame {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.frames[len(c.frames)-1]
}

type bench struct {
	t       *testing.T
	gate    *Gate
	engine  *fakeEngine
	clock   *clockwork.FakeClock
	suspect int
	failed  *expvar.Int
}

func newBench(t *testing.T, change func(*Config)) *bench {
	t.Helper()
	out := &bench{t: t, clock: clockwork.NewFakeClock(), failed: new(expvar.Int)}
	out.engine = &fakeEngine{ran: map[string]int{}, generate: answer(testVersion, "a", "b")}
	server := httptest.NewServer(out.engine)
	t.Cleanup(server.Close)
	holder := view.NewHolder()
	holder.Store(&view.Snapshot{Revision: 3, Document: &wire.Document{
		Models:    []*wire.Model{{Name: testModel, Customers: []string{testCustomer}}},
		Services:  []*wire.Service{{Name: "labels", Customers: []string{testCustomer}}},
		Endpoints: []*wire.EndpointClass{{Name: testClass, RefusesBeforeRun: true}, {Name: "vague"}},
	}})
	cfg := Config{
		Self:       &wire.Node{Id: "h1", Incarnation: testIncarnation},
		Clock:      out.clock,
		Log:        slog.New(slog.DiscardHandler),
		Endpoint:   testClass,
		Engine:     engine.New(server.URL),
		View:       holder,
		Suspect:    func() { out.suspect++ },
		Observe:    func(*wire.Node, *wire.Known) {},
		Invariants: &Invariants{Log: slog.Default(), Failures: out.failed, Panic: true},
		Counters:   new(expvar.Map).Init(),
	}
	if change != nil {
		change(&cfg)
	}
	out.gate = New(cfg)
	out.gate.Open(Loaded{Model: testModel, Version: testVersion, Adapters: map[string]string{"at": "a1"}})
	return out
}

func attemptOf(id string, change func(*wire.Attempt)) *wire.Attempt {
	att := &wire.Attempt{
		RequestId:      id,
		Attempt:        1,
		Incarnation:    testIncarnation,
		Customer:       testCustomer,
		Model:          testModel,
		Version:        testVersion,
		DeadlineMillis: 5000,
		MaxTokens:      8,
	}
	if change != nil {
		change(att)
	}
	return att
}

// run executes an attempt to its end.
func (b *bench) run(att *wire.Attempt) *caller {
	b.t.Helper()
	out := newCaller(b.t.Context())
	if err := b.gate.Run(att, out); err != nil {
		b.t.Fatalf("Run failed: %v", err)
	}
	return out
}

func (b *bench) settled() {
	b.t.Helper()
	if got := b.gate.State().Running(); got != 0 {
		b.t.Errorf("got %d running after the end, want 0", got)
	}
	if got, _ := b.gate.capacity.inUse(); got != 0 {
		b.t.Errorf("got %d places in use after the end, want 0", got)
	}
	if got := b.failed.Value(); got != 0 {
		b.t.Errorf("got %d broken invariants, want 0", got)
	}
}

func TestWholeAnswer(t *testing.T) {
	b := newBench(t, nil)
	got := b.run(attemptOf("r1", nil))
	if want := "begin tokens end"; got.kinds() != want {
		t.Fatalf("got frames %q, want %q", got.kinds(), want)
	}
	sum := blake3.Sum256([]byte("a\nb"))
	if got, want := hex.EncodeToString(got.last().GetDigest()), hex.EncodeToString(sum[:]); got != want {
		t.Errorf("got digest %s, want %s", got, want)
	}
	for i, frame := range got.frames {
		if frame.GetSequence() != uint32(i) {
			t.Errorf("frame %d: got sequence %d", i, frame.GetSequence())
		}
	}
	b.settled()
}

// Symptom: an answer that was resumed on another host is taken for cut short.
// Sequence: two tokens were relayed, the host died, the rest comes from here.
// Cause: a digest or a count over the new tokens alone.
func TestResumedAnswer(t *testing.T) {
	b := newBench(t, nil)
	b.engine.generate = func(_ http.ResponseWriter, _ *http.Request, emit func(string, any)) {
		emit("begin", map[string]any{"version": testVersion})
		emit("token", map[string]any{"i": 2, "text": "c"})
		emit("end", map[string]any{"version": testVersion, "count": 3})
	}
	got := b.run(attemptOf("r1", func(att *wire.Attempt) { att.ResumeTokens = []string{"a", "b"} }))
	sum := blake3.Sum256([]byte("a\nb\nc"))
	if got, want := hex.EncodeToString(got.last().GetDigest()), hex.EncodeToString(sum[:]); got != want {
		t.Errorf("got digest %s, want %s", got, want)
	}
}

// Each line is an attempt that must not reach the engine.
func TestRefusals(t *testing.T) {
	for _, tc := range []struct {
		name   string
		change func(*wire.Attempt)
		before func(*bench)
		want   string
	}{
		{"other incarnation", func(att *wire.Attempt) { att.Incarnation = "inc-0" }, nil, reasonIncarnation},
		{"no incarnation", func(att *wire.Attempt) { att.Incarnation = "" }, nil, reasonIncarnation},
		{"no id", func(att *wire.Attempt) { att.RequestId = "" }, nil, reasonInvalid},
		{"other version", func(att *wire.Attempt) { att.Version = "v2" }, nil, reasonNotLoaded},
		{"other model", func(att *wire.Attempt) { att.Model = "coat" }, nil, reasonNotLoaded},
		{"unknown adapter", func(att *wire.Attempt) { att.Adapter = "de" }, nil, reasonNotLoaded},
		{"service at an engine", func(att *wire.Attempt) { att.Service = "labels" }, nil, reasonNotLoaded},
		{"other customer", func(att *wire.Attempt) { att.Customer = "nobody" }, nil, reasonCustomer},
		{"deadline passed", func(att *wire.Attempt) { att.DeadlineMillis = 0 }, nil, reasonDeadline},
		{"leaving", nil, func(b *bench) { b.gate.SetLeaving(true) }, reasonLeaving},
		{"exiting", nil, func(b *bench) { b.gate.Exit(time.Second) }, reasonLeaving},
		{"draining", nil, func(b *bench) { b.gate.Drain(time.Second) }, reasonDraining},
		{"busy", nil, func(b *bench) { b.gate.capacity.limit = 0 }, reasonBusy},
	} {
		t.Run(tc.name, func(t *testing.T) {
			b := newBench(t, nil)
			if tc.before != nil {
				tc.before(b)
			}
			att := attemptOf("r1", tc.change)
			got := b.run(att)
			if want := "refused:" + tc.want; got.kinds() != want {
				t.Errorf("got frames %q, want %q", got.kinds(), want)
			}
			if got := b.engine.begun("r1"); got != 0 {
				t.Errorf("the engine saw the attempt %d times, want 0", got)
			}
			b.settled()
		})
	}
}

// Symptom: a request called not run runs afterwards. Sequence: the host drains
// and refuses an attempt; it opens again; a second delivery of the same attempt
// arrives. Cause: a refusal that is not remembered.
func TestRefusalStands(t *testing.T) {
	b := newBench(t, nil)
	b.gate.Drain(time.Second)
	b.run(attemptOf("r1", nil))
	b.gate.Open(Loaded{Model: testModel, Version: testVersion})
	got := b.run(attemptOf("r1", nil))
	if want := "refused:" + reasonDuplicate; got.kinds() != want {
		t.Errorf("got frames %q, want %q", got.kinds(), want)
	}
	if got := b.engine.begun("r1"); got != 0 {
		t.Errorf("the engine saw the attempt %d times, want 0", got)
	}
}

// Symptom: an answer that ran is called not run. Sequence: the network delivers
// an attempt twice; the caller reads the second reply. Cause: a duplicate
// answered as refused, which means proved not run.
func TestDuplicateIsNoProof(t *testing.T) {
	b := newBench(t, nil)
	b.run(attemptOf("r1", nil))
	got := b.run(attemptOf("r1", nil))
	if want := "broken:" + reasonDuplicate; got.kinds() != want {
		t.Errorf("got frames %q, want %q", got.kinds(), want)
	}
	if got := b.engine.begun("r1"); got != 1 {
		t.Errorf("the engine ran the request %d times, want 1", got)
	}
}

// Symptom: a cancelled request runs. Sequence: the cancel overtakes the attempt.
// Cause: no tombstone.
func TestCancelBeforeDelivery(t *testing.T) {
	b := newBench(t, nil)
	reply, err := b.gate.Cancel(t.Context(), &wire.CancelRequest{RequestId: "r1", Attempt: 1, Incarnation: testIncarnation})
	if err != nil || reply.GetState() != "neverBegun" {
		t.Fatalf("got %v, %v, want neverBegun", reply, err)
	}
	got := b.run(attemptOf("r1", nil))
	if want := "refused:" + reasonTombstone; got.kinds() != want {
		t.Errorf("got frames %q, want %q", got.kinds(), want)
	}
}

func TestCancelStates(t *testing.T) {
	b := newBench(t, nil)
	b.run(attemptOf("r1", nil))
	for _, tc := range []struct{ id, incarnation, want string }{
		{"r1", testIncarnation, "ended"},
		{"r2", testIncarnation, "neverBegun"},
		{"r1", "inc-0", "otherIncarnation"},
	} {
		reply, err := b.gate.Cancel(t.Context(), &wire.CancelRequest{RequestId: tc.id, Attempt: 1, Incarnation: tc.incarnation})
		if err != nil || reply.GetState() != tc.want {
			t.Errorf("cancel of %s: got %v, %v, want %s", tc.id, reply, err, tc.want)
		}
	}
}

// Each line is an engine that fails after it began, or whose answer must not
// pass for whole.
func TestBrokenAnswers(t *testing.T) {
	for _, tc := range []struct {
		name     string
		generate func(w http.ResponseWriter, r *http.Request, emit func(string, any))
		want     string
		suspects int
	}{
		// The engine was restarted with older weights behind the agent's back.
		{"other version at the start", answer("v0", "a"), "broken:" + reasonVersion, 1},
		// Weights changed in the middle of an answer: the tokens are mixed.
		{"other version at the end", func(_ http.ResponseWriter, _ *http.Request, emit func(string, any)) {
			emit("begin", map[string]any{"version": testVersion})
			emit("token", map[string]any{"i": 0, "text": "a"})
			emit("end", map[string]any{"version": "v2", "count": 1})
		}, "begin tokens broken:" + reasonVersion, 1},
		// The connection breaks after a token: an answer cut short.
		{"no end", func(_ http.ResponseWriter, _ *http.Request, emit func(string, any)) {
			emit("begin", map[string]any{"version": testVersion})
			emit("token", map[string]any{"i": 0, "text": "a"})
		}, "begin tokens broken:" + reasonStream, 0},
		{"a token is missing", func(_ http.ResponseWriter, _ *http.Request, emit func(string, any)) {
			emit("begin", map[string]any{"version": testVersion})
			emit("token", map[string]any{"i": 1, "text": "b"})
			emit("end", map[string]any{"version": testVersion, "count": 2})
		}, "begin broken:" + reasonStream, 0},
		{"wrong count", func(_ http.ResponseWriter, _ *http.Request, emit func(string, any)) {
			emit("begin", map[string]any{"version": testVersion})
			emit("end", map[string]any{"version": testVersion, "count": 2})
		}, "begin broken:" + reasonStream, 0},
		{"server error", func(w http.ResponseWriter, _ *http.Request, _ func(string, any)) {
			w.WriteHeader(http.StatusInternalServerError)
		}, "broken:" + reasonEndpoint, 0},
		{"redirect", func(w http.ResponseWriter, _ *http.Request, _ func(string, any)) {
			w.Header().Set("Location", "/generate")
			w.WriteHeader(http.StatusTemporaryRedirect)
		}, "broken:" + reasonEndpoint, 0},
	} {
		t.Run(tc.name, func(t *testing.T) {
			b := newBench(t, nil)
			b.engine.generate = tc.generate
			got := b.run(attemptOf("r1", nil))
			if got.kinds() != tc.want {
				t.Errorf("got frames %q, want %q", got.kinds(), tc.want)
			}
			if b.suspect != tc.suspects {
				t.Errorf("got %d suspicions, want %d", b.suspect, tc.suspects)
			}
			if got := b.engine.begun("r1"); got != 1 {
				t.Errorf("the engine saw the request %d times, want 1", got)
			}
			b.settled()
		})
	}
}

// Each line is a refusal by the engine that proves that nothing ran, so that
// another attempt may begin.
func TestEngineRefusals(t *testing.T) {
	for _, tc := range []struct {
		status int
		want   string
	}{
		{http.StatusServiceUnavailable, reasonBusy},
		{http.StatusConflict, reasonNotLoaded},
	} {
		b := newBench(t, nil)
		b.engine.generate = func(w http.ResponseWriter, _ *http.Request, _ func(string, any)) { w.WriteHeader(tc.status) }
		got := b.run(attemptOf("r1", nil))
		if want := "refused:" + tc.want; got.kinds() != want {
			t.Errorf("status %d: got frames %q, want %q", tc.status, got.kinds(), want)
		}
		b.engine.generate = answer(testVersion, "a")
		got = b.run(attemptOf("r1", func(att *wire.Attempt) { att.Attempt = 2 }))
		if want := "begin tokens end"; got.kinds() != want {
			t.Errorf("status %d, second attempt: got frames %q, want %q", tc.status, got.kinds(), want)
		}
		b.settled()
	}
}

func TestUnreachableEngineProvesNothingRan(t *testing.T) {
	b := newBench(t, func(cfg *Config) {
		server := httptest.NewServer(nil)
		cfg.Engine = engine.New(server.URL)
		server.Close()
	})
	got := b.run(attemptOf("r1", nil))
	if want := "refused:" + reasonUnreachable; got.kinds() != want {
		t.Errorf("got frames %q, want %q", got.kinds(), want)
	}
}

// streaming makes the engine send tokens until the test lets it go.
func (b *bench) streaming() (started chan struct{}, finish chan struct{}) {
	started, finish = make(chan struct{}), make(chan struct{})
	b.engine.generate = func(_ http.ResponseWriter, r *http.Request, emit func(string, any)) {
		emit("begin", map[string]any{"version": testVersion})
		emit("token", map[string]any{"i": 0, "text": "a"})
		close(started)
		select {
		case <-finish:
			emit("end", map[string]any{"version": testVersion, "count": 1})
		case <-r.Context().Done():
		}
	}
	return started, finish
}

// start runs an attempt in the background.
func (b *bench) start(ctx context.Context, att *wire.Attempt) (*caller, chan struct{}) {
	out, done := newCaller(ctx), make(chan struct{})
	go func() {
		defer close(done)
		_ = b.gate.Run(att, out)
	}()
	return out, done
}

// Symptom: a host that leaves cuts off an answer. Sequence: the drain begins in
// mid-stream. Cause: the drain does not wait.
func TestDrainWaitsForStream(t *testing.T) {
	b := newBench(t, nil)
	started, finish := b.streaming()
	got, done := b.start(t.Context(), attemptOf("r1", nil))
	<-started
	b.gate.Drain(time.Minute)
	b.gate.Tick(b.clock.Now().Add(59 * time.Second))
	if got, want := b.gate.State().Phase(), drain.Draining; got != want {
		t.Errorf("got phase %v, want %v", got, want)
	}
	close(finish)
	<-done
	if want := "begin tokens end"; got.kinds() != want {
		t.Errorf("got frames %q, want %q", got.kinds(), want)
	}
	if got, want := b.gate.State().Phase(), drain.Drained; got != want {
		t.Errorf("got phase %v, want %v", got, want)
	}
	b.settled()
}

// Symptom: a drain never ends, or a cut answer passes for whole. Sequence: a
// stream outlasts the drain's limit. Cause: the limit does not cancel, or the
// cancel ends the stream with an end frame.
func TestDrainDeadlineBreaksStream(t *testing.T) {
	b := newBench(t, nil)
	started, _ := b.streaming()
	got, done := b.start(t.Context(), attemptOf("r1", nil))
	<-started
	b.gate.Drain(time.Minute)
	b.gate.Tick(b.clock.Now().Add(time.Minute))
	<-done
	if want := "broken:" + reasonCancelled; !strings.HasSuffix(got.kinds(), want) {
		t.Errorf("got frames %q, want %q at the end", got.kinds(), want)
	}
	eventually(t, func() bool { return b.gate.State().Phase() == drain.Drained })
	eventually(t, func() bool { return b.engine.cancelled("r1") })
}

// Symptom: an engine works for callers who have gone. Sequence: the entry drops
// the stream. Cause: the cancel does not reach the engine.
func TestCallerGone(t *testing.T) {
	b := newBench(t, nil)
	started, _ := b.streaming()
	ctx, cancel := context.WithCancel(t.Context())
	_, done := b.start(ctx, attemptOf("r1", nil))
	<-started
	cancel()
	<-done
	eventually(t, func() bool { return b.engine.cancelled("r1") && b.gate.State().Running() == 0 })
}

// Symptom: an invariant breaks, two last frames for one attempt. Sequence: the
// entry dies while the agent sends a frame. Cause: a failed send taken for a
// reason to send another frame.
func TestCallerGoneAtAnyFrame(t *testing.T) {
	for _, kind := range []string{frameBegin, frameTokens, frameEnd, frameBroken} {
		b := newBench(t, nil)
		if kind == frameBroken {
			b.engine.generate = answer("v0", "a")
		}
		out := newCaller(t.Context())
		out.deaf = kind
		_ = b.gate.Run(attemptOf("r1", nil), out)
		b.settled()
	}
}

// Symptom: a stopped entry holds the engine's slot and every drain. Sequence:
// the caller stops reading without closing; the deadline passes. Cause: the
// places are given back only when the send returns.
func TestCallerThatStopsReading(t *testing.T) {
	b := newBench(t, nil)
	started, _ := b.streaming()
	out := newCaller(t.Context())
	out.block = make(chan struct{}) // never received from
	go func() { _ = b.gate.Run(attemptOf("r1", nil), out) }()
	<-started
	if err := b.clock.BlockUntilContext(t.Context(), 1); err != nil {
		t.Fatal(err)
	}
	b.clock.Advance(5 * time.Second)
	eventually(t, func() bool { return b.gate.State().Running() == 0 && b.engine.cancelled("r1") })
}

// Symptom: a slow caller makes the agent hold a whole answer in memory.
// Sequence: the engine is fast, the caller reads nothing. Cause: an unbounded
// buffer between them.
func TestBackPressure(t *testing.T) {
	b := newBench(t, nil)
	const total = 20000
	emitted := make(chan int, total)
	b.engine.generate = func(_ http.ResponseWriter, r *http.Request, emit func(string, any)) {
		emit("begin", map[string]any{"version": testVersion})
		text := strings.Repeat("x", 1000)
		for i := range total {
			if r.Context().Err() != nil {
				return
			}
			emit("token", map[string]any{"i": i, "text": text})
			emitted <- i
		}
		emit("end", map[string]any{"version": testVersion, "count": total})
	}
	out := newCaller(t.Context())
	out.block = make(chan struct{})
	done := make(chan struct{})
	go func() {
		defer close(done)
		_ = b.gate.Run(attemptOf("r1", nil), out)
	}()
	stalled := func() bool {
		before := len(emitted)
		time.Sleep(200 * time.Millisecond)
		return before > 0 && len(emitted) == before
	}
	eventually(t, stalled)
	if got := len(emitted); got >= total {
		t.Errorf("the engine emitted all %d tokens to a caller that reads nothing", got)
	}
	close(out.block)
	<-done
	if want := "begin tokens end"; out.kinds() != want {
		t.Errorf("got frames %q, want %q", out.kinds(), want)
	}
	if got := len(out.frames); got >= total {
		t.Errorf("got %d frames for %d tokens, want batches", got, total)
	}
}

// Symptom: a call that a bridge refused half way is called not run. Sequence:
// the bridge answers 503 after it began. Cause: a 503 taken for proof although
// the endpoint class does not promise it.
func TestServiceRefusals(t *testing.T) {
	for _, tc := range []struct {
		class  string
		status int
		want   string
	}{
		{testClass, http.StatusServiceUnavailable, "refused:" + reasonBusy},
		{"vague", http.StatusServiceUnavailable, "broken:" + reasonEndpoint},
		{"unknown", http.StatusServiceUnavailable, "broken:" + reasonEndpoint},
		{testClass, http.StatusConflict, "broken:" + reasonEndpoint},
		{testClass, http.StatusInternalServerError, "broken:" + reasonEndpoint},
	} {
		b := newBench(t, func(cfg *Config) { cfg.Service, cfg.Endpoint = "labels", tc.class })
		b.engine.call = func(w http.ResponseWriter, _ *http.Request) { w.WriteHeader(tc.status) }
		got := b.run(attemptOf("r1", func(att *wire.Attempt) { att.Service, att.Model, att.Version = "labels", "", "" }))
		if got.kinds() != tc.want {
			t.Errorf("%s, %d: got frames %q, want %q", tc.class, tc.status, got.kinds(), tc.want)
		}
		b.settled()
	}
}

func TestServiceAnswer(t *testing.T) {
	b := newBench(t, func(cfg *Config) { cfg.Service = "labels" })
	body := []byte(strings.Repeat("label ", bodyFrameBytes/4))
	b.engine.call = func(w http.ResponseWriter, _ *http.Request) {
		_ = json.NewEncoder(w).Encode(map[string][]byte{"body": body})
	}
	got := b.run(attemptOf("r1", func(att *wire.Attempt) { att.Service = "labels" }))
	if want := "begin body end"; got.kinds() != want {
		t.Fatalf("got frames %q, want %q", got.kinds(), want)
	}
	sum := blake3.Sum256(body)
	if got, want := hex.EncodeToString(got.last().GetDigest()), hex.EncodeToString(sum[:]); got != want {
		t.Errorf("got digest %s, want %s", got, want)
	}
}

// eventually waits for what another goroutine is about to do.
func eventually(t *testing.T, holds func() bool) {
	t.Helper()
	for range 500 {
		if holds() {
			return
		}
		time.Sleep(10 * time.Millisecond)
	}
	t.Fatal("it never came true")
}
