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

// fakeEngine is an endpoint whose answers come from functions that a test replaces.
type fakeEngine struct {
	mu           sync.Mutex
	runs         map[string]int // number of generations and calls begun, by request ID
	cancelledIDs []string       // IDs of cancelled requests
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

// streamAnswer returns a generate function that emits a complete answer.
func streamAnswer(version string, tokens ...string) func(http.ResponseWriter, *http.Request, func(string, any)) {
	return func(_ http.ResponseWriter, _ *http.Request, emit func(string, any)) {
		emit("begin", map[string]any{"version": version})
		for i, token := range tokens {
			emit("token", map[string]any{"i": i, "text": token})
		}
		emit("end", map[string]any{"version": version, "count": len(tokens)})
	}
}

// fakeCaller is the entry's side of the stream of one attempt.
type fakeCaller struct {
	drpc.Stream
	ctx context.Context

	mu     sync.Mutex
	frames []*wire.Frame
	// failOnKind, if set, is the kind of frame at which the connection breaks.
	failOnKind string
	// unblock, if set, is received from before each frame, to simulate a slow
	// caller.
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

// frameKinds returns the kinds and reasons of the frames; equal neighbours are
// merged.
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

// gateFixture is a Gate in front of a fakeEngine, with a fake clock.
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
		Self:          &wire.Node{Id: "h1", Incarnation: testIncarnation},
		Clock:         fixture.clock,
		Log:           slog.New(slog.DiscardHandler),
		EndpointClass: testClass,
		Engine:        engine.New(server.URL),
		View:          holder,
		Suspect:       func() { fixture.suspectCalls++ },
		Observe:       func(*wire.Node, *wire.Known) {},
		Invariants:    &Invariants{Log: slog.Default(), Failures: fixture.brokenInvariants, Panic: true},
		Counters:      new(expvar.Map).Init(),
	}
	if configure != nil {
		configure(&cfg)
	}
	fixture.gate = New(cfg)
	fixture.gate.Open(Loaded{Model: testModel, Version: testVersion, Adapters: map[string]string{"at": "a1"}})
	return fixture
}

// newAttempt returns an attempt that is admitted, after modify has changed it.
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

// run executes an attempt and returns when it has ended.
func (gf *gateFixture) run(att *wire.Attempt) *fakeCaller {
	gf.t.Helper()
	stream := newFakeCaller(gf.t.Context())
	if err := gf.gate.Run(att, stream); err != nil {
		gf.t.Fatalf("Run failed: %v", err)
	}
	return stream
}

// checkNothingInUse checks that no attempt runs, no slot is taken and no invariant
// was violated.
func (gf *gateFixture) checkNothingInUse() {
	gf.t.Helper()
	if got := gf.gate.State().Running(); got != 0 {
		gf.t.Errorf("got %d running after the end, want 0", got)
	}
	if got, _ := gf.gate.limiter.inUse(); got != 0 {
		gf.t.Errorf("got %d slots in use after the end, want 0", got)
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

// Guards against an answer resumed on another host being treated as incomplete.
// Two tokens were relayed by a host that died, and this host sends the rest; the
// digest and the count must include the earlier tokens.
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

// Each case is an attempt that must not reach the engine.
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

// Guards against an attempt that runs after it was reported as not run. The host
// drains and refuses the attempt, opens again, and receives a second delivery of
// the same attempt. The refusal must have been recorded.
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

// Guards against an attempt that ran being reported as not run. The network
// delivers it twice and the caller reads the second reply, so a duplicate must not
// be answered with a refused frame, which proves that the attempt did not run.
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

// Guards against a cancelled request that runs because the cancel arrives before
// the attempt and leaves no tombstone.
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

// Each case is an engine that fails after it began, or whose answer must not be
// treated as complete.
func TestBrokenAnswers(t *testing.T) {
	for _, tc := range []struct {
		name     string
		generate func(w http.ResponseWriter, r *http.Request, emit func(string, any))
		want     string
		suspects int
	}{
		// The engine was restarted with older weights and the agent does not know.
		{"other version at the start", streamAnswer("v0", "a"), "broken:" + reasonVersionChanged, 1},
		// The weights changed during the answer, so its tokens are of two versions.
		{"other version at the end", func(_ http.ResponseWriter, _ *http.Request, emit func(string, any)) {
			emit("begin", map[string]any{"version": testVersion})
			emit("token", map[string]any{"i": 0, "text": "a"})
			emit("end", map[string]any{"version": "v2", "count": 1})
		}, "begin tokens broken:" + reasonVersionChanged, 1},
		// The connection breaks after a token, so the answer is incomplete.
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
				t.Errorf("got %d calls of Suspect, want %d", gf.suspectCalls, tc.suspects)
			}
			if got := gf.engine.runCount("r1"); got != 1 {
				t.Errorf("the engine saw the request %d times, want 1", got)
			}
			gf.checkNothingInUse()
		})
	}
}

// Each case is a refusal by the engine which proves that nothing ran, so another
// attempt may begin.
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

// Guards against taking a status for a refusal that the engine's interface does not guarantee to be one:
// the request may have run, so no other attempt may begin.
func TestEngineStatusesThatProveNothing(t *testing.T) {
	for _, status := range []int{
		http.StatusTooManyRequests, http.StatusRequestTimeout, http.StatusMisdirectedRequest, http.StatusNotFound, http.StatusBadRequest,
	} {
		gf := newGateFixture(t, nil)
		gf.engine.generate = func(w http.ResponseWriter, _ *http.Request, _ func(string, any)) { w.WriteHeader(status) }
		got := gf.run(newAttempt("r1", nil))
		if want := "broken:" + reasonEndpointFailed; got.frameKinds() != want {
			t.Errorf("status %d: got frames %q, want %q", status, got.frameKinds(), want)
		}
		got = gf.run(newAttempt("r1", func(att *wire.Attempt) { att.Attempt = 2 }))
		if got := gf.engine.runCount("r1"); got != 1 {
			t.Errorf("status %d: the engine saw the request %d times, want 1", status, got)
		}
		if want := "refused:" + reasonBegunBefore; got.frameKinds() != want {
			t.Errorf("status %d, second attempt: got frames %q, want %q", status, got.frameKinds(), want)
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

// streamUntilReleased makes the engine send a token and then wait until the test
// closes finish or the request is cancelled. started is closed after the token.
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

// runInBackground executes an attempt in a goroutine and closes the channel at its
// end.
func (gf *gateFixture) runInBackground(ctx context.Context, att *wire.Attempt) (*fakeCaller, chan struct{}) {
	stream, done := newFakeCaller(ctx), make(chan struct{})
	go func() {
		defer close(done)
		_ = gf.gate.Run(att, stream)
	}()
	return stream, done
}

// Guards against a leaving host cutting off an answer: a drain that begins during a
// stream must wait for its end.
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

// Guards against a drain that never ends and against an incomplete answer treated
// as complete. When a stream runs longer than the drain's limit, it must be
// cancelled, and its last frame must not be an end frame.
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

// Guards against an engine that keeps working for a disconnected caller: when the
// entry drops the stream, the cancel must reach the engine.
func TestCallerDisconnectStopsEngine(t *testing.T) {
	gf := newGateFixture(t, nil)
	started, _ := gf.streamUntilReleased()
	ctx, cancel := context.WithCancel(t.Context())
	_, done := gf.runInBackground(ctx, newAttempt("r1", nil))
	<-started
	cancel()
	<-done
	waitUntil(t, func() bool { return gf.engine.cancelled("r1") && gf.gate.State().Running() == 0 })
}

// Guards against a second last frame for one attempt, which violates an invariant.
// It is sent if the entry dies while the agent sends a frame, and the failed send
// is answered with another frame.
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

// Guards against a stopped entry that occupies the engine's slot and blocks every
// drain. The caller stops reading without closing the stream, and the deadline
// passes; the slot must be released although the send has not returned.
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

// Guards against an unbounded buffer between a fast engine and a caller that reads
// nothing, which would keep the whole answer in the agent's memory.
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

// Guards against a call being reported as not run although the bridge answered 503
// after it had begun. A 503 is proof only if the endpoint class promises that.
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
		{testClass, http.StatusTooManyRequests, "broken:" + reasonEndpointFailed},
		{testClass, http.StatusRequestTimeout, "broken:" + reasonEndpointFailed},
		{testClass, http.StatusMisdirectedRequest, "broken:" + reasonEndpointFailed},
	} {
		gf := newGateFixture(t, func(cfg *Config) { cfg.Service, cfg.EndpointClass = "labels", tc.class })
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

// waitUntil waits up to five seconds for a condition that another goroutine makes
// true.
func waitUntil(t *testing.T, condition func() bool) {
	t.Helper()
	for range 500 {
		if condition() {
			return
		}
		time.Sleep(10 * time.Millisecond)
	}
	t.Fatal("the condition did not become true in time")
}
