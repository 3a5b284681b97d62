package callers

import (
	"context"
	"encoding/json"
	"net/http"
	"slices"
	"strings"
	"testing"
	"time"

	"github.com/google/uuid"

	"comfreyrelay.example/entry/internal/dispatch"
	"comfreyrelay.example/relay/wire"
)

func TestAnswerInOnePiece(t *testing.T) {
	deployment := newTestDeployment(t)
	deployment.addAgent("h1", answer("a", "torn", "letter"))
	entry := deployment.addEntry("e1")
	deployment.publish()
	got := entry.request(t, nil)
	expect(t, got, http.StatusOK, dispatch.Answered)
	if want := []string{"a", "torn", "letter"}; !slices.Equal(got.answer.Tokens, want) {
		t.Errorf("got tokens %q, want %q", got.answer.Tokens, want)
	}
	if got.answer.Version != testVersion {
		t.Errorf("got version %q, want %q", got.answer.Version, testVersion)
	}
}

func TestAnswerAsStream(t *testing.T) {
	deployment := newTestDeployment(t)
	deployment.addAgent("h1", answer("a", "torn", "letter"))
	entry := deployment.addEntry("e1")
	deployment.publish()
	got := entry.request(t, nil, "Accept", "text/event-stream")
	var events []string
	for _, line := range strings.Split(got.raw, "\n") {
		if name, found := strings.CutPrefix(line, "event: "); found {
			events = append(events, name)
		}
	}
	if want := []string{"begin", "tokens", "tokens", "tokens", "end"}; !slices.Equal(events, want) {
		t.Errorf("got events %q, want %q", events, want)
	}
}

// Guards against an answer that stops in the middle: a host fails after two tokens
// of a stream, and another host of the same version must continue it.
func TestStreamResumesOnAnotherHost(t *testing.T) {
	deployment := newTestDeployment(t)
	words := []string{"a", "torn", "letter", "from", "Xela"}
	first := true
	run := func(att *wire.Attempt, stream wire.DRPCHost_RunStream) error {
		if first {
			first = false
			return breakOff(words[:2]...)(att, stream)
		}
		return answer(words...)(att, stream)
	}
	deployment.addAgent("h1", run)
	deployment.addAgent("h2", run)
	entry := deployment.addEntry("e1")
	deployment.publish()
	got := entry.request(t, nil, "Accept", "text/event-stream")
	var tokens []string
	for _, line := range strings.Split(got.raw, "\n") {
		var event tokensEvent
		if text, found := strings.CutPrefix(line, "data: "); found && json.Unmarshal([]byte(text), &event) == nil {
			tokens = append(tokens, event.Tokens...)
		}
	}
	if !slices.Equal(tokens, words) {
		t.Errorf("got tokens %q, want %q", tokens, words)
	}
	if got := strings.Count(got.raw, "event: end"); got != 1 {
		t.Errorf("got %d end events, want 1", got)
	}
	recordedAttempts := append(deployment.agents[0].recordedAttempts(), deployment.agents[1].recordedAttempts()...)
	if got := len(recordedAttempts); got != 2 {
		t.Fatalf("got %d attempts, want 2", got)
	}
}

// Guards against running a request twice that may not be repeated: the host breaks
// off the attempt after it began, and the entry must not retry it on another host.
func TestBrokenRunIsNotRepeated(t *testing.T) {
	deployment := newTestDeployment(t)
	for _, id := range []string{"h1", "h2"} {
		deployment.addAgent(id, breakOff("a")).cancelState = "ended"
	}
	entry := deployment.addEntry("e1")
	deployment.publish()
	got := entry.request(t, map[string]any{"repeatable": false})
	expect(t, got, http.StatusBadGateway, dispatch.Unknown)
	if got := len(deployment.agents[0].recordedAttempts()) + len(deployment.agents[1].recordedAttempts()); got != 1 {
		t.Errorf("got %d attempts, want 1", got)
	}
	if got.failed.Error.Remedy == "" {
		t.Error("got no remedy, want one")
	}
}

// A once key that every host refused may be sent again and then runs, but not
// before its hold has ended.
func TestKeyRefusedByEveryHostCanBeResent(t *testing.T) {
	deployment := newTestDeployment(t)
	deployment.addAgent("h1", refuse("busy"))
	deployment.addAgent("h2", refuse("busy"))
	entry := deployment.addEntry("e1")
	deployment.publish()
	key := newOnceKey(entry)
	got := entry.request(t, map[string]any{"repeatable": false, "key": key, "deadlineMillis": 1000})
	expect(t, got, got.status, dispatch.NotRun)
	if got.failed.Error.RetryAfterMillis == 0 {
		t.Error("got no retryAfterMillis, want one")
	}
	for _, agent := range deployment.agents {
		agent.run = answer("ok")
	}
	expect(t, entry.request(t, map[string]any{"repeatable": false, "key": key}), http.StatusServiceUnavailable, dispatch.NotRun)
	time.Sleep(time.Duration(got.failed.Error.RetryAfterMillis) * time.Millisecond)
	got = entry.request(t, map[string]any{"repeatable": false, "key": key})
	expect(t, got, http.StatusOK, dispatch.Answered)
}

func TestUnreachableHostIsNotRun(t *testing.T) {
	deployment := newTestDeployment(t)
	deployment.addAgent("h1", answer("ok")).node.ControlAddress = "127.0.0.1:1"
	entry := deployment.addEntry("e1")
	deployment.publish()
	got := entry.request(t, map[string]any{"repeatable": false, "deadlineMillis": 1000})
	expect(t, got, got.status, dispatch.NotRun)
}

// Guards against frames of another attempt or request reaching a caller: a host
// sends such frames late, and one with a repeated sequence number, between those
// of the current attempt.
func TestFramesOfOtherAttemptsAreDropped(t *testing.T) {
	deployment := newTestDeployment(t)
	deployment.addAgent("h1", func(att *wire.Attempt, stream wire.DRPCHost_RunStream) error {
		out := &frames{att: att, stream: stream}
		_ = out.send(&wire.Frame{Kind: "begin", Version: att.GetVersion()})
		_ = stream.Send(&wire.Frame{RequestId: att.GetRequestId(), Attempt: att.GetAttempt() + 1, Sequence: 1, Kind: "tokens", Tokens: []string{"late"}})
		_ = stream.Send(&wire.Frame{RequestId: uuid.NewString(), Attempt: att.GetAttempt(), Sequence: 1, Kind: "tokens", Tokens: []string{"foreign"}})
		_ = out.send(&wire.Frame{Kind: "tokens", Tokens: []string{"own"}})
		_ = stream.Send(&wire.Frame{RequestId: att.GetRequestId(), Attempt: att.GetAttempt(), Sequence: 1, Kind: "tokens", Tokens: []string{"doubled"}})
		return out.send(&wire.Frame{Kind: "end", Version: att.GetVersion(), Digest: dispatch.DigestOf([]string{"own"})})
	})
	entry := deployment.addEntry("e1")
	deployment.publish()
	got := entry.request(t, nil)
	expect(t, got, http.StatusOK, dispatch.Answered)
	if want := []string{"own"}; !slices.Equal(got.answer.Tokens, want) {
		t.Errorf("got tokens %q, want %q", got.answer.Tokens, want)
	}
}

func TestRefusedRequests(t *testing.T) {
	deployment := newTestDeployment(t)
	deployment.addAgent("h1", answer("ok"))
	entry := deployment.addEntry("e1")
	deployment.publish()
	cases := []struct {
		name   string
		change map[string]any
		header []string
		status int
	}{
		{"no key", nil, []string{"Authorization", ""}, http.StatusUnauthorized},
		{"unknown key", nil, []string{"Authorization", "Bearer x"}, http.StatusUnauthorized},
		{"another customer's model", nil, []string{"Authorization", "Bearer " + otherKey}, http.StatusForbidden},
		{"unknown field", map[string]any{"modell": "x"}, nil, http.StatusBadRequest},
		{"unknown model", map[string]any{"model": "x"}, nil, http.StatusBadRequest},
		{"unknown adapter", map[string]any{"adapter": "x"}, nil, http.StatusBadRequest},
		{"too many tokens", map[string]any{"maxTokens": 1 << 20}, nil, http.StatusBadRequest},
		{"body over 1 MiB", map[string]any{"prompt": strings.Repeat("x", 1<<20)}, nil, http.StatusBadRequest},
		{"bad key", map[string]any{"repeatable": false, "key": "x"}, nil, http.StatusBadRequest},
	}
	for _, test := range cases {
		t.Run(test.name, func(t *testing.T) {
			got := entry.request(t, test.change, test.header...)
			expect(t, got, test.status, dispatch.NotRun)
		})
	}
	if got := len(deployment.agents[0].recordedAttempts()); got != 0 {
		t.Errorf("got %d attempts, want 0", got)
	}
}

func TestServiceCall(t *testing.T) {
	deployment := newTestDeployment(t)
	agent := deployment.addAgent("s1", func(att *wire.Attempt, stream wire.DRPCHost_RunStream) error {
		out := &frames{att: att, stream: stream}
		if att.GetRepeatable() {
			t.Error("got a repeatable call, want the endpoint class to override the caller")
		}
		_ = out.send(&wire.Frame{Kind: "begin"})
		_ = out.send(&wire.Frame{Kind: "body", Body: []byte("paid")})
		return out.send(&wire.Frame{Kind: "end", Digest: dispatch.DigestOf([]string{"paid"})})
	})
	entry := deployment.addEntry("e1")
	deployment.publish()
	report := agent.report()
	report.Service, report.Versions = "ledger", nil
	publishHosts(deployment, entry, report)
	got := entry.post(t, "/v1/services/ledger", map[string]any{"body": []byte("pay"), "repeatable": true})
	expect(t, got, http.StatusOK, dispatch.Answered)
	if got := string(got.answer.Body); got != "paid" {
		t.Errorf("got body %q, want %q", got, "paid")
	}
}

func TestCustomerRateLimit(t *testing.T) {
	deployment := newTestDeployment(t)
	deployment.editCustomer = func(spec *wire.Customer) { spec.RequestsPerSecond = 1 }
	deployment.addAgent("h1", answer("ok"))
	entry := deployment.addEntry("e1")
	deployment.publish()
	expect(t, entry.request(t, nil), http.StatusOK, dispatch.Answered)
	got := entry.request(t, nil)
	expect(t, got, http.StatusTooManyRequests, dispatch.NotRun)
	if got.failed.Error.RetryAfterMillis == 0 {
		t.Error("got no retryAfterMillis, want one")
	}
}

// Guards against losing a request in a shutdown: one request is in progress when
// the drain begins, and another arrives later.
func TestDrainFinishesRequestsInProgress(t *testing.T) {
	deployment := newTestDeployment(t)
	begun, proceed := make(chan struct{}), make(chan struct{})
	deployment.addAgent("h1", func(att *wire.Attempt, stream wire.DRPCHost_RunStream) error {
		close(begun)
		<-proceed
		return answer("ok")(att, stream)
	})
	entry := deployment.addEntry("e1")
	spare := deployment.addEntry("e2")
	deployment.publish()
	running := make(chan reply)
	go func() { running <- entry.request(t, nil) }()
	<-begun
	drained := make(chan struct{})
	go func() {
		entry.srv.Drain(context.Background())
		close(drained)
	}()
	for entry.srv.tracker.accepting() {
		time.Sleep(time.Millisecond)
	}
	late := entry.request(t, nil)
	expect(t, late, http.StatusServiceUnavailable, dispatch.NotRun)
	if want := []string{spare.node.GetCallersAddress()}; !slices.Equal(late.failed.Error.Spares, want) {
		t.Errorf("got spares %q, want %q", late.failed.Error.Spares, want)
	}
	close(proceed)
	expect(t, <-running, http.StatusOK, dispatch.Answered)
	<-drained
}

// Guards against a deadlock. Requests wait for a slot and a new view arrives. When
// a slot becomes free, it is assigned while the lane is locked; functions that are
// called then, such as Request.Versions, must not update the lane.
func TestNewViewWhileRequestsWait(t *testing.T) {
	deployment := newTestDeployment(t)
	proceed := make(chan struct{})
	agent := deployment.addAgent("h1", func(att *wire.Attempt, stream wire.DRPCHost_RunStream) error {
		<-proceed
		return answer("ok")(att, stream)
	})
	entry := deployment.addEntry("e1")
	deployment.publish()
	report := agent.report()
	report.Slots = 1
	publishHosts(deployment, entry, report)
	const callers = 6
	replies := make(chan reply, callers)
	for range callers {
		go func() { replies <- entry.request(t, map[string]any{"deadlineMillis": 10_000}) }()
	}
	for len(agent.recordedAttempts()) == 0 || entry.srv.InFlight() < callers {
		if len(replies) > 0 {
			t.Fatalf("got an answer before the agent proceeded: %s", (<-replies).raw)
		}
		time.Sleep(time.Millisecond)
	}
	for range callers {
		report = agent.report()
		report.Slots, report.Sequence = 1, report.GetSequence()+1
		publishHosts(deployment, entry, report)
		time.Sleep(2 * indexInterval)
		proceed <- struct{}{}
	}
	for range callers {
		expect(t, <-replies, http.StatusOK, dispatch.Answered)
	}
}
