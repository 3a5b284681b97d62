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
	mu           sync.Mutex
	runs         map[string]int // generations and calls begun, by request
	cancelledIDs []string       // requests cancelled
	generate     func(w http.ResponseWriter, r *http.Request, emit func(kind string, body any))
	call         http.HandlerFunc
}

func (f *fakeEngine) runCount(id string) int {
	f.mu.Lock()
	defer f.mu.Unlock()
	return f.runs[id]
}

func (f *fakeEngine) cancelled(id string) bool {
	f.mu.Lock()
	defer f.mu.Unlock()
	return slices.Contains(f.cancelledIDs, id)
}

func (f *fakeEngine) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	body := struct{ RequestID string }{}
	_ = json.NewDecoder(r.Body).Decode(&body)
	f.mu.Lock()
	switch r.URL.Path {
	case "/cancel":
		f.cancelledIDs = append(f.cancelledIDs, body.RequestID)
	default:
		f.runs[body.RequestID]++
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
func streamAnswer(version string, tokens ...string) func(http.ResponseWriter, *http.Request, func(string, any)) {
	return func(_ http.ResponseWriter, _ *http.Request, emit func(string, any)) {
		emit("begin", map[string]any{"version": version})
		for i, token := range tokens {
			emit("token", map[string]any{"i": i, "text": token})
		}
		emit("end", map[string]any{"version": version, "count": len(tokens)})
	}
}

// caller is the entry's end of one attempt.
type fakeCaller struct {
	drpc.Stream
	ctx context.Context

	mu     sync.Mutex
	frames []*wire.Frame
	// deaf, if set, is the kind of frame at which the connection breaks.
	failOnKind string
	// block, if set, is received from before each frame: a slow caller.
	unblock chan struct{}
}

func newFakeCaller(ctx context.Context) *fakeCaller {
	return &fakeCaller{ctx: ctx}
}

func (c *fakeCaller) Context() context.Context { return c.ctx }

func (c *fakeCaller) Send(frame *wire.Frame) error {
	if c.failOnKind != "" && frame.GetKind() == c.failOnKind {
		return context.Canceled
	}
	if c.unblock != nil {
		select {
		case <-c.unblock:
		case <-c.ctx.Done():
			return c.ctx.Err()
		}
	}
	c.mu.Lock()
	c.frames = append(c.frames, frame)
	c.mu.Unlock()
	return nil
}

func (c *fakeCaller) frameKinds() string {
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

func (c *fakeCaller) lastFrame() *wire.Frame {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.frames[len(c.frames)-1]
}

type gateFixture struct {
	t                *testing.T
	gate             *Gate
	engine           *fakeEngine
	clock            *clockwork.FakeClock
	suspectCalls     int
	brokenInvariants *expvar.Int
}

func newGateFixture(t *testing.T, configure func(*Config)) *gateFixture {
	t.Helper()
	fixture := &gateFixture{t: t, clock: clockwork.NewFakeClock(), brokenInvariants: new(expvar.Int)}
	fixture.engine = &fakeEngine{runs: map[string]int{}, generate: streamAnswer(testVersion, "a", "b")}
	server := httptest.NewServer(fixture.engine)
	t.Cleanup(server.Close)
	holder := view.NewHolder()
	holder.Store(&view.Snapshot{Revision: 3, Document: &wire.Document{
		Models:    []*wire.Model{{Name: testModel, Customers: []string{testCustomer}}},
		Services:  []*wire.Service{{Name: "labels", Customers: []string{testCustomer}}},
		Endpoints: []*wire.EndpointClass{{Name: testClass, RefusesBeforeRun: true}, {Name: "vague"}},
	}})
	cfg := Config{
		Self:       &wire.Node{Id: "h1", Incarnation: testIncarnation},
		Clock:      fixture.clock,
		Log:        slog.New(slog.DiscardHandler),
		Endpoint:   testClass,
		Engine:     engine.New(server.URL),
		View:       holder,
		Suspect:    func() { fixture.suspectCalls++ },
		Observe:    func(*wire.Node, *wire.Known) {},
		Invariants: &Invariants{Log: slog.Default(), Failures: fixture.brokenInvariants, Panic: true},
		Counters:   new(expvar.Map).Init(),
	}
	if configure != nil {
		configure(&cfg)
	}
	fixture.gate = New(cfg)
	fixture.gate.Open(Loaded{Model: testModel, Version: testVersion, Adapters: map[string]string{"at": "a1"}})
	return fixture
}

func newAttempt(id string, modify func(*wire.Attempt)) *wire.Attempt {
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
	if modify != nil {
		modify(att)
	}
	return att
}

// run executes an attempt to its end.
func (gf *gateFixture) run(att *wire.Attempt) *fakeCaller {
	gf.t.Helper()
	stream := newFakeCaller(gf.t.Context())
	if err := gf.gate.Run(att, stream); err != nil {
		gf.t.Fatalf("Run failed: %v", err)
	}
	return stream
}

func (gf *gateFixture) checkNothingInUse() {
	gf.t.Helper()
	if got := gf.gate.State().Running(); got != 0 {
		gf.t.Errorf("got %d running after the end, want 0", got)
	}
	if got, _ := gf.gate.limiter.inUse(); got != 0 {
		gf.t.Errorf("got %d places in use after the end, want 0", got)
	}
	if got := gf.brokenInvariants.Value(); got != 0 {
		gf.t.Errorf("got %d broken invariants, want 0", got)
	}
}

func TestCompleteAnswer(t *testing.T) {
	gf := newGateFixture(t, nil)
	got := gf.run(newAttempt("r1", nil))
	if want := "begin tokens end"; got.frameKinds() != want {
		t.Fatalf("got frames %q, want %q", got.frameKinds(), want)
	}
	sum := blake3.Sum256([]byte("a\nb"))
	if got, want := hex.EncodeToString(got.lastFrame().GetDigest()), hex.EncodeToString(sum[:]); got != want {
		t.Errorf("got digest %s, want %s", got, want)
	}
	for i, frame := range got.frames {
		if frame.GetSequence() != uint32(i) {
			t.Errorf("frame %d: got sequence %d", i, frame.GetSequence())
		}
	}
	gf.checkNothingInUse()
}

// Symptom: an answer that was resumed on another host is taken for cut short.
// Sequence: two tokens were relayed, the host died, the rest comes from here.
// Cause: a digest or a count over the new tokens alone.
func TestResumedAnswer(t *testing.T) {
	gf := newGateFixture(t, nil)
	gf.engine.generate = func(_ http.ResponseWriter, _ *http.Request, emit func(string, any)) {
		emit("begin", map[string]any{"version": testVersion})
		emit("token", map[string]any{"i": 2, "text": "c"})
		emit("end", map[string]any{"version": testVersion, "count": 3})
	}
	got := gf.run(newAttempt("r1", func(att *wire.Attempt) { att.ResumeTokens = []string{"a", "b"} }))
	sum := blake3.Sum256([]byte("a\nb\nc"))
	if got, want := hex.EncodeToString(got.lastFrame().GetDigest()), hex.EncodeToString(sum[:]); got != want {
		t.Errorf("got digest %s, want %s", got, want)
	}
}

// Each line is an attempt that must not reach the engine.
func TestRefusals(t *testing.T) {
	for _, tc := range []struct {
		name   string
		change func(*wire.Attempt)
		before func(*gateFixture)
		want   string
	}{
		{"other incarnation", func(att *wire.Attempt) { att.Incarnation = "inc-0" }, nil, reasonOtherIncarnation},
		{"no incarnation", func(att *wire.Attempt) { att.Incarnation = "" }, nil, reasonOtherIncarnation},
		{"no id", func(att *wire.Attempt) { att.RequestId = "" }, nil, reasonInvalid},
		{"other version", func(att *wire.Attempt) { att.Version = "v2" }, nil, reasonNotLoaded},
		{"other model", func(att *wire.Attempt) { att.Model = "coat" }, nil, reasonNotLoaded},
		{"unknown adapter", func(att *wire.Attempt) { att.Adapter = "de" }, nil, reasonNotLoaded},
		{"service at an engine", func(att *wire.Attempt) { att.Service = "labels" }, nil, reasonNotLoaded},
		{"other customer", func(att *wire.Attempt) { att.Customer = "nobody" }, nil, reasonNotAllowed},
		{"deadline passed", func(att *wire.Attempt) { att.DeadlineMillis = 0 }, nil, reasonDeadline},
		{"leaving", nil, func(gf *gateFixture) { gf.gate.SetLeaving(true) }, reasonLeaving},
		{"exiting", nil, func(gf *gateFixture) { gf.gate.Exit(time.Second) }, reasonLeaving},
		{"draining", nil, func(gf *gateFixture) { gf.gate.Drain(time.Second) }, reasonDraining},
		{"busy", nil, func(gf *gateFixture) { gf.gate.limiter.limit = 0 }, reasonBusy},
	} {
		t.Run(tc.name, func(t *testing.T) {
			gf := newGateFixture(t, nil)
			if tc.before != nil {
				tc.before(gf)
			}
			att := newAttempt("r1", tc.change)
			got := gf.run(att)
			if want := "refused:" + tc.want; got.frameKinds() != want {
				t.Errorf("got frames %q, want %q", got.frameKinds(), want)
			}
			if got := gf.engine.runCount("r1"); got != 0 {
				t.Errorf("the engine saw the attempt %d times, want 0", got)
			}
			gf.checkNothingInUse()
		})
	}
}

// Symptom: a request called not run runs afterwards. Sequence: the host drains
// and refuses an attempt; it opens again; a second delivery of the same attempt
// arrives. Cause: a refusal that is not remembered.
func TestRefusalIsRemembered(t *testing.T) {
	gf := newGateFixture(t, nil)
	gf.gate.Drain(time.Second)
	gf.run(newAttempt("r1", nil))
	gf.gate.Open(Loaded{Model: testModel, Version: testVersion})
	got := gf.run(newAttempt("r1", nil))
	if want := "refused:" + reasonDuplicate; got.frameKinds() != want {
		t.Errorf("got frames %q, want %q", got.frameKinds(), want)
	}
	if got := gf.engine.runCount("r1"); got != 0 {
		t.Errorf("the engine saw the attempt %d times, want 0", got)
	}
}

// Symptom: an answer that ran is called not run. Sequence: the network delivers
// an attempt twice; the caller reads the second reply. Cause: a duplicate
// answered as refused, which means proved not run.
func TestDuplicateIsNotRefused(t *testing.T) {
	gf := newGateFixture(t, nil)
	gf.run(newAttempt("r1", nil))
	got := gf.run(newAttempt("r1", nil))
	if want := "broken:" + reasonDuplicate; got.frameKinds() != want {
		t.Errorf("got frames %q, want %q", got.frameKinds(), want)
	}
	if got := gf.engine.runCount("r1"); got != 1 {
		t.Errorf("the engine ran the request %d times, want 1", got)
	}
}

// Symptom: a cancelled request runs. Sequence: the cancel overtakes the attempt.
// Cause: no tombstone.
func TestCancelBeforeDelivery(t *testing.T) {
	gf := newGateFixture(t, nil)
	reply, err := gf.gate.Cancel(t.Context(), &wire.CancelRequest{RequestId: "r1", Attempt: 1, Incarnation: testIncarnation})
	if err != nil || reply.GetState() != "neverBegun" {
		t.Fatalf("got %v, %v, want neverBegun", reply, err)
	}
	got := gf.run(newAttempt("r1", nil))
	if want := "refused:" + reasonCancelled; got.frameKinds() != want {
		t.Errorf("got frames %q, want %q", got.frameKinds(), want)
	}
}

func TestCancelStates(t *testing.T) {
	gf := newGateFixture(t, nil)
	gf.run(newAttempt("r1", nil))
	for _, tc := range []struct{ id, incarnation, want string }{
		{"r1", testIncarnation, "ended"},
		{"r2", testIncarnation, "neverBegun"},
		{"r1", "inc-0", "otherIncarnation"},
	} {
		reply, err := gf.gate.Cancel(t.Context(), &wire.CancelRequest{RequestId: tc.id, Attempt: 1, Incarnation: tc.incarnation})
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
		{"other version at the start", streamAnswer("v0", "a"), "broken:" + reasonVersionChanged, 1},
		// Weights changed in the middle of an answer: the tokens are mixed.
		{"other version at the end", func(_ http.ResponseWriter, _ *http.Request, emit func(string, any)) {
			emit("begin", map[string]any{"version": testVersion})
			emit("token", map[string]any{"i": 0, "text": "a"})
			emit("end", map[string]any{"version": "v2", "count": 1})
		}, "begin tokens broken:" + reasonVersionChanged, 1},
		// The connection breaks after a token: an answer cut short.
		{"no end", func(_ http.ResponseWriter, _ *http.Request, emit func(string, any)) {
			emit("begin", map[string]any{"version": testVersion})
			emit("token", map[string]any{"i": 0, "text": "a"})
		}, "begin tokens broken:" + reasonStreamBroken, 0},
		{"a token is missing", func(_ http.ResponseWriter, _ *http.Request, emit func(string, any)) {
			emit("begin", map[string]any{"version": testVersion})
			emit("token", map[string]any{"i": 1, "text": "b"})
			emit("end", map[string]any{"version": testVersion, "count": 2})
		}, "begin broken:" + reasonStreamBroken, 0},
		{"wrong count", func(_ http.ResponseWriter, _ *http.Request, emit func(string, any)) {
			emit("begin", map[string]any{"version": testVersion})
			emit("end", map[string]any{"version": testVersion, "count": 2})
		}, "begin broken:" + reasonStreamBroken, 0},
		{"server error", func(w http.ResponseWriter, _ *http.Request, _ func(string, any)) {
			w.WriteHeader(http.StatusInternalServerError)
		}, "broken:" + reasonEndpointFailed, 0},
		{"redirect", func(w http.ResponseWriter, _ *http.Request, _ func(string, any)) {
			w.Header().Set("Location", "/generate")
			w.WriteHeader(http.StatusTemporaryRedirect)
		}, "broken:" + reasonEndpointFailed, 0},
	} {
		t.Run(tc.name, func(t *testing.T) {
			gf := newGateFixture(t, nil)
			gf.engine.generate = tc.generate
			got := gf.run(newAttempt("r1", nil))
			if got.frameKinds() != tc.want {
				t.Errorf("got frames %q, want %q", got.frameKinds(), tc.want)
			}
			if gf.suspectCalls != tc.suspects {
				t.Errorf("got %d suspicions, want %d", gf.suspectCalls, tc.suspects)
			}
			if got := gf.engine.runCount("r1"); got != 1 {
				t.Errorf("the engine saw the request %d times, want 1", got)
			}
			gf.checkNothingInUse()
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
		gf := newGateFixture(t, nil)
		gf.engine.generate = func(w http.ResponseWriter, _ *http.Request, _ func(string, any)) { w.WriteHeader(tc.status) }
		got := gf.run(newAttempt("r1", nil))
		if want := "refused:" + tc.want; got.frameKinds() != want {
			t.Errorf("status %d: got frames %q, want %q", tc.status, got.frameKinds(), want)
		}
		gf.engine.generate = streamAnswer(testVersion, "a")
		got = gf.run(newAttempt("r1", func(att *wire.Attempt) { att.Attempt = 2 }))
		if want := "begin tokens end"; got.frameKinds() != want {
			t.Errorf("status %d, second attempt: got frames %q, want %q", tc.status, got.frameKinds(), want)
		}
		gf.checkNothingInUse()
	}
}

func TestUnreachableEngineProvesNothingRan(t *testing.T) {
	gf := newGateFixture(t, func(cfg *Config) {
		server := httptest.NewServer(nil)
		cfg.Engine = engine.New(server.URL)
		server.Close()
	})
	got := gf.run(newAttempt("r1", nil))
	if want := "refused:" + reasonUnreachable; got.frameKinds() != want {
		t.Errorf("got frames %q, want %q", got.frameKinds(), want)
	}
}

// streaming makes the engine send tokens until the test lets it go.
func (gf *gateFixture) streamUntilReleased() (started chan struct{}, finish chan struct{}) {
	started, finish = make(chan struct{}), make(chan struct{})
	gf.engine.generate = func(_ http.ResponseWriter, r *http.Request, emit func(string, any)) {
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
func (gf *gateFixture) runInBackground(ctx context.Context, att *wire.Attempt) (*fakeCaller, chan struct{}) {
	stream, done := newFakeCaller(ctx), make(chan struct{})
	go func() {
		defer close(done)
		_ = gf.gate.Run(att, stream)
	}()
	return stream, done
}

// Symptom: a host that leaves cuts off an answer. Sequence: the drain begins in
// mid-stream. Cause: the drain does not wait.
func TestDrainWaitsForStream(t *testing.T) {
	gf := newGateFixture(t, nil)
	started, finish := gf.streamUntilReleased()
	got, done := gf.runInBackground(t.Context(), newAttempt("r1", nil))
	<-started
	gf.gate.Drain(time.Minute)
	gf.gate.Tick(gf.clock.Now().Add(59 * time.Second))
	if got, want := gf.gate.State().Phase(), drain.Draining; got != want {
		t.Errorf("got phase %v, want %v", got, want)
	}
	close(finish)
	<-done
	if want := "begin tokens end"; got.frameKinds() != want {
		t.Errorf("got frames %q, want %q", got.frameKinds(), want)
	}
	if got, want := gf.gate.State().Phase(), drain.Drained; got != want {
		t.Errorf("got phase %v, want %v", got, want)
	}
	gf.checkNothingInUse()
}

// Symptom: a drain never ends, or a cut answer passes for whole. Sequence: a
// stream outlasts the drain's limit. Cause: the limit does not cancel, or the
// cancel ends the stream with an end frame.
func TestDrainDeadlineStopsStream(t *testing.T) {
	gf := newGateFixture(t, nil)
	started, _ := gf.streamUntilReleased()
	got, done := gf.runInBackground(t.Context(), newAttempt("r1", nil))
	<-started
	gf.gate.Drain(time.Minute)
	gf.gate.Tick(gf.clock.Now().Add(time.Minute))
	<-done
	if want := "broken:" + reasonStopped; !strings.HasSuffix(got.frameKinds(), want) {
		t.Errorf("got frames %q, want %q at the end", got.frameKinds(), want)
	}
	waitUntil(t, func() bool { return gf.gate.State().Phase() == drain.Drained })
	waitUntil(t, func() bool { return gf.engine.cancelled("r1") })
}

// Symptom: an engine works for callers who have gone. Sequence: the entry drops
// the stream. Cause: the cancel does not reach the engine.
func TestCallerDisconnects(t *testing.T) {
	gf := newGateFixture(t, nil)
	started, _ := gf.streamUntilReleased()
	ctx, cancel := context.WithCancel(t.Context())
	_, done := gf.runInBackground(ctx, newAttempt("r1", nil))
	<-started
	cancel()
	<-done
	waitUntil(t, func() bool { return gf.engine.cancelled("r1") && gf.gate.State().Running() == 0 })
}

// Symptom: an invariant breaks, two last frames for one attempt. Sequence: the
// entry dies while the agent sends a frame. Cause: a failed send taken for a
// reason to send another frame.
func TestCallerDisconnectsAtAnyFrame(t *testing.T) {
	for _, kind := range []string{frameBegin, frameTokens, frameEnd, frameBroken} {
		gf := newGateFixture(t, nil)
		if kind == frameBroken {
			gf.engine.generate = streamAnswer("v0", "a")
		}
		stream := newFakeCaller(t.Context())
		stream.failOnKind = kind
		_ = gf.gate.Run(newAttempt("r1", nil), stream)
		gf.checkNothingInUse()
	}
}

// Symptom: a stopped entry holds the engine's slot and every drain. Sequence:
// the caller stops reading without closing; the deadline passes. Cause: the
// places are given back only when the send returns.
func TestCallerThatStopsReading(t *testing.T) {
	gf := newGateFixture(t, nil)
	started, _ := gf.streamUntilReleased()
	stream := newFakeCaller(t.Context())
	stream.unblock = make(chan struct{}) // never received from
	go func() { _ = gf.gate.Run(newAttempt("r1", nil), stream) }()
	<-started
	if err := gf.clock.BlockUntilContext(t.Context(), 1); err != nil {
		t.Fatal(err)
	}
	gf.clock.Advance(5 * time.Second)
	waitUntil(t, func() bool { return gf.gate.State().Running() == 0 && gf.engine.cancelled("r1") })
}

// Symptom: a slow caller makes the agent hold a whole answer in memory.
// Sequence: the engine is fast, the caller reads nothing. Cause: an unbounded
// buffer between them.
func TestBackPressure(t *testing.T) {
	gf := newGateFixture(t, nil)
	const total = 20000
	emitted := make(chan int, total)
	gf.engine.generate = func(_ http.ResponseWriter, r *http.Request, emit func(string, any)) {
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
	stream := newFakeCaller(t.Context())
	stream.unblock = make(chan struct{})
	done := make(chan struct{})
	go func() {
		defer close(done)
		_ = gf.gate.Run(newAttempt("r1", nil), stream)
	}()
	stalled := func() bool {
		before := len(emitted)
		time.Sleep(200 * time.Millisecond)
		return before > 0 && len(emitted) == before
	}
	waitUntil(t, stalled)
	if got := len(emitted); got >= total {
		t.Errorf("the engine emitted all %d tokens to a caller that reads nothing", got)
	}
	close(stream.unblock)
	<-done
	if want := "begin tokens end"; stream.frameKinds() != want {
		t.Errorf("got frames %q, want %q", stream.frameKinds(), want)
	}
	if got := len(stream.frames); got >= total {
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
		{"vague", http.StatusServiceUnavailable, "broken:" + reasonEndpointFailed},
		{"unknown", http.StatusServiceUnavailable, "broken:" + reasonEndpointFailed},
		{testClass, http.StatusConflict, "broken:" + reasonEndpointFailed},
		{testClass, http.StatusInternalServerError, "broken:" + reasonEndpointFailed},
	} {
		gf := newGateFixture(t, func(cfg *Config) { cfg.Service, cfg.Endpoint = "labels", tc.class })
		gf.engine.call = func(w http.ResponseWriter, _ *http.Request) { w.WriteHeader(tc.status) }
		got := gf.run(newAttempt("r1", func(att *wire.Attempt) { att.Service, att.Model, att.Version = "labels", "", "" }))
		if got.frameKinds() != tc.want {
			t.Errorf("%s, %d: got frames %q, want %q", tc.class, tc.status, got.frameKinds(), tc.want)
		}
		gf.checkNothingInUse()
	}
}

func TestServiceAnswer(t *testing.T) {
	gf := newGateFixture(t, func(cfg *Config) { cfg.Service = "labels" })
	body := []byte(strings.Repeat("label ", bodyFrameBytes/4))
	gf.engine.call = func(w http.ResponseWriter, _ *http.Request) {
		_ = json.NewEncoder(w).Encode(map[string][]byte{"body": body})
	}
	got := gf.run(newAttempt("r1", func(att *wire.Attempt) { att.Service = "labels" }))
	if want := "begin body end"; got.frameKinds() != want {
		t.Fatalf("got frames %q, want %q", got.frameKinds(), want)
	}
	sum := blake3.Sum256(body)
	if got, want := hex.EncodeToString(got.lastFrame().GetDigest()), hex.EncodeToString(sum[:]); got != want {
		t.Errorf("got digest %s, want %s", got, want)
	}
}

// eventually waits for what another goroutine is about to do.
func waitUntil(t *testing.T, condition func() bool) {
	t.Helper()
	for range 500 {
		if condition() {
			return
		}
		time.Sleep(10 * time.Millisecond)
	}
	t.Fatal("it never came true")
}
