package dispatch

import (
	"context"
	"errors"
	"fmt"
	"io"
	"log/slog"
	"slices"
	"sync"
	"testing"
	"time"

	"github.com/jonboulle/clockwork"

	"comfreyrelay.example/relay/route"
	"comfreyrelay.example/relay/wire"
)

// scriptedStep is one step of a fake host's answer to an attempt.
type scriptedStep struct {
	delay         time.Duration // advance of the fake clock before the frame
	silenceChecks int           // silence checks that pass before the frame
	frame         *wire.Frame
	stall         bool // blocks until the attempt's context ends
	err           error
}

// fakeHosts implements Hosts on a fake clock that its answers advance.
type fakeHosts struct {
	clock *clockwork.FakeClock
	// script returns the answer to an attempt on the host with the address.
	// reachable is false if the connection is refused.
	script      func(address string, att *wire.Attempt) (steps []scriptedStep, reachable bool)
	cancelState string

	mu       sync.Mutex
	attempts []string // addresses in order of the attempts
	cancels  []string
}

func (h *fakeHosts) hosts() Hosts {
	return Hosts{Run: h.run, Cancel: h.cancel}
}

func (h *fakeHosts) run(ctx context.Context, address string, att *wire.Attempt) (Stream, bool, error) {
	h.mu.Lock()
	h.attempts = append(h.attempts, address)
	h.mu.Unlock()
	steps, reachable := h.script(address, att)
	if !reachable {
		return Stream{}, false, errors.New("connection refused")
	}
	sequence := uint32(0)
	recv := func() (*wire.Frame, error) {
		if len(steps) == 0 {
			return nil, io.EOF
		}
		step := steps[0]
		steps = steps[1:]
		h.clock.Advance(step.delay)
		for range step.silenceChecks {
			h.clock.Advance(silenceCheckInterval)
			time.Sleep(time.Millisecond)
		}
		if step.stall {
			<-ctx.Done()
		}
		if step.err != nil || isDone(ctx) {
			return nil, errors.Join(step.err, io.ErrUnexpectedEOF)
		}
		step.frame.RequestId, step.frame.Attempt, step.frame.Sequence = att.GetRequestId(), att.GetAttempt(), sequence
		sequence++
		return step.frame, nil
	}
	return Stream{Recv: recv, Close: func() error { return nil }}, true, nil
}

func (h *fakeHosts) cancel(_ context.Context, address string, _ *wire.CancelRequest) (*wire.CancelReply, error) {
	h.mu.Lock()
	defer h.mu.Unlock()
	h.cancels = append(h.cancels, address)
	return &wire.CancelReply{State: h.cancelState}, nil
}

const testTokenCount = 24

func testTokens() []string {
	tokens := make([]string, testTokenCount)
	for i := range tokens {
		tokens[i] = fmt.Sprintf("word%d", i)
	}
	return tokens
}

// answerWithGap returns a complete answer with the gap between tokens.
func answerWithGap(att *wire.Attempt, gap time.Duration) []scriptedStep {
	steps := []scriptedStep{{frame: &wire.Frame{Kind: frameBegin, Version: att.GetVersion()}}}
	for _, token := range testTokens()[len(att.GetResumeTokens()):] {
		steps = append(steps, scriptedStep{delay: gap, frame: &wire.Frame{Kind: frameTokens, Tokens: []string{token}}})
	}
	return append(steps, scriptedStep{frame: &wire.Frame{Kind: frameEnd, Version: att.GetVersion(), Digest: DigestOf(testTokens())}})
}

func newTestDispatcher(hosts *fakeHosts, count int) *Dispatcher {
	hosts.clock = clockwork.NewFakeClock()
	dispatcher := New(Config{
		Self:       &wire.Node{Id: "e"},
		Clock:      hosts.clock,
		Log:        slog.New(slog.DiscardHandler),
		Hosts:      hosts.hosts(),
		Known:      func() *wire.Known { return nil },
		Refresh:    func() {},
		Invariants: Invariants{Log: slog.New(slog.DiscardHandler), Panic: true},
	})
	var list []route.Host
	for i := range count {
		name := fmt.Sprintf("h%d", i)
		list = append(list, route.Host{ID: name, Address: name, Incarnation: "1", Version: "v1", Slots: 4, Sequence: 1, SeenAt: hosts.clock.Now()})
	}
	dispatcher.Update("lane", list, 1)
	return dispatcher
}

func testRequest(hosts *fakeHosts, number int, repeatable bool) *Request {
	return &Request{
		ID: fmt.Sprintf("r%d", number), Customer: "quetzal", Weight: 1, HostPool: "lane", Model: "parcel",
		Prompt: fmt.Sprintf("Envelope %d", number), MaxTokens: testTokenCount, Repeatable: repeatable,
		Deadline: hosts.clock.Now().Add(30 * time.Second),
		Versions: func() []string { return []string{"v1"} },
		Retry:    func() bool { return true },
	}
}

// Guards against answers that miss their deadline because they stay on a host that
// became slow: it sends ten times slower than the others but reports itself healthy.
func TestMoveFromSlowHost(t *testing.T) {
	slow := ""
	hosts := &fakeHosts{script: func(address string, att *wire.Attempt) ([]scriptedStep, bool) {
		if address == slow {
			return answerWithGap(att, 200*time.Millisecond), true
		}
		return answerWithGap(att, 20*time.Millisecond), true
	}}
	dispatcher := newTestDispatcher(hosts, 4)
	for number := range 40 {
		dispatcher.Do(context.Background(), testRequest(hosts, number, true), Sink{})
	}
	slow = hosts.attempts[0]
	before := len(hosts.attempts)
	var tokens []string
	sink := Sink{Tokens: func(_ string, more []string) error {
		tokens = append(tokens, more...)
		return nil
	}}
	result := dispatcher.Do(context.Background(), testRequest(hosts, 0, true), sink)
	if result.Outcome != Answered || !slices.Equal(tokens, testTokens()) {
		t.Fatalf("got %s %q, want the complete answer", result.Outcome, tokens)
	}
	if got := hosts.attempts[before:]; len(got) != 2 || got[0] != slow || got[1] == slow {
		t.Errorf("got attempts on %q, want one on %s and one on another host", got, slow)
	}
}

// Guards against a caller that waits until its deadline for a host that lost its
// network: no frame arrives and no connection breaks.
func TestSilentHostAbandoned(t *testing.T) {
	for _, test := range []struct {
		repeatable  bool
		cancelState string
		want        Outcome
		attempts    int
	}{
		{true, "running", Answered, 2},
		{false, "neverBegun", Answered, 2},
		{false, "running", Unknown, 1},
	} {
		t.Run(fmt.Sprintf("repeatable=%t/%s", test.repeatable, test.cancelState), func(t *testing.T) {
			silent := ""
			hosts := &fakeHosts{cancelState: test.cancelState}
			hosts.script = func(address string, att *wire.Attempt) ([]scriptedStep, bool) {
				if silent == "" || address == silent {
					silent = address
					return []scriptedStep{{delay: maxSilence, stall: true}}, true
				}
				return answerWithGap(att, 20*time.Millisecond), true
			}
			dispatcher := newTestDispatcher(hosts, 3)
			advanceClock(t, hosts.clock)
			result := dispatcher.Do(context.Background(), testRequest(hosts, 1, test.repeatable), Sink{})
			if result.Outcome != test.want || result.Attempts != test.attempts {
				t.Errorf("got %s after %d attempts, want %s after %d", result.Outcome, result.Attempts, test.want, test.attempts)
			}
		})
	}
}

// answerWithSilence returns a complete answer with a silence of twice maxSilence
// before the given step.
func answerWithSilence(att *wire.Attempt, silentStep int) []scriptedStep {
	steps := answerWithGap(att, 20*time.Millisecond)
	steps[silentStep].silenceChecks = int(2 * maxSilence / silenceCheckInterval)
	return steps
}

// Guards against losing an answer in progress: its host sends nothing for a while
// and is abandoned although no other attempt can replace it.
func TestStayOnSilentHostWithoutAlternative(t *testing.T) {
	for _, test := range []struct {
		name       string
		hosts      int
		repeatable bool
		budget     bool
	}{
		{"the only host", 1, true, true},
		{"no retry left", 3, true, false},
		{"may not be repeated", 3, false, true},
	} {
		t.Run(test.name, func(t *testing.T) {
			hosts := &fakeHosts{cancelState: "running", script: func(_ string, att *wire.Attempt) ([]scriptedStep, bool) {
				return answerWithSilence(att, 5), true
			}}
			dispatcher := newTestDispatcher(hosts, test.hosts)
			advanceClock(t, hosts.clock)
			req := testRequest(hosts, 1, test.repeatable)
			req.Retry = func() bool { return test.budget }
			result := dispatcher.Do(context.Background(), req, Sink{})
			if result.Outcome != Answered || result.Attempts != 1 {
				t.Errorf("got %s after %d attempts, want %s after 1: %v", result.Outcome, result.Attempts, Answered, result.Err)
			}
		})
	}
}

// Guards against an answer in progress that waits for a silent host until its
// deadline although another host has capacity, and against a reserved place that is
// never released.
func TestMoveFromSilentHost(t *testing.T) {
	silent := ""
	hosts := &fakeHosts{cancelState: "running"}
	hosts.script = func(address string, att *wire.Attempt) ([]scriptedStep, bool) {
		if silent == "" {
			silent = address
			steps := answerWithGap(att, 20*time.Millisecond)
			steps[5].silenceChecks, steps[5].stall = int(2*maxSilence/silenceCheckInterval), true
			return steps, true
		}
		return answerWithGap(att, 20*time.Millisecond), true
	}
	dispatcher := newTestDispatcher(hosts, 3)
	advanceClock(t, hosts.clock)
	result := dispatcher.Do(context.Background(), testRequest(hosts, 1, true), Sink{})
	if result.Outcome != Answered || result.Attempts != 2 || result.Host == silent {
		t.Errorf("got %s after %d attempts on %s, want %s after 2 on a host other than %s: %v",
			result.Outcome, result.Attempts, result.Host, Answered, silent, result.Err)
	}
	if got := dispatcher.pool("lane").inFlightCount(); got != 0 {
		t.Errorf("got %d attempts in flight after the answer, want none", got)
	}
}

// Guards against losing an answer that is moved away from a slow host although no
// other host has capacity.
func TestStayOnSlowHostWithoutAlternative(t *testing.T) {
	slow := ""
	hosts := &fakeHosts{script: func(address string, att *wire.Attempt) ([]scriptedStep, bool) {
		if address == slow {
			return answerWithGap(att, 200*time.Millisecond), true
		}
		return answerWithGap(att, 20*time.Millisecond), true
	}}
	dispatcher := newTestDispatcher(hosts, 4)
	for number := range 40 {
		dispatcher.Do(context.Background(), testRequest(hosts, number, true), Sink{})
	}
	slow = hosts.attempts[0]
	before := len(hosts.attempts)
	pool := dispatcher.pool("lane")
	fill := func() {
		pool.mu.Lock()
		defer pool.mu.Unlock()
		otherHosts := func() route.Requirements {
			return route.Requirements{Versions: []string{"v1"}, Exclude: []string{slow}}
		}
		for reason := route.Chosen; reason == route.Chosen; {
			_, reason = pool.pick(hosts.clock.Now(), testRequest(hosts, 1, true), otherHosts)
		}
	}
	sink := Sink{Tokens: func(string, []string) error { fill(); return nil }}
	advanceClock(t, hosts.clock)
	result := dispatcher.Do(context.Background(), testRequest(hosts, 0, true), sink)
	if result.Outcome != Answered {
		t.Errorf("got %s, want %s: %v", result.Outcome, Answered, result.Err)
	}
	if got := hosts.attempts[before:]; len(got) != 1 || got[0] != slow {
		t.Errorf("got attempts on %q, want one on %s", got, slow)
	}
}

// advanceClock keeps advancing the clock until the test ends, so that waits such as
// the backoff between attempts elapse.
func advanceClock(t *testing.T, clock *clockwork.FakeClock) {
	done := make(chan struct{})
	t.Cleanup(func() { close(done) })
	go func() {
		for {
			select {
			case <-done:
				return
			case <-time.After(time.Millisecond):
				clock.Advance(5 * time.Millisecond)
			}
		}
	}()
}

// Guards against an engine that keeps working for a caller that disconnected.
func TestCallerDisconnects(t *testing.T) {
	for _, repeatable := range []bool{true, false} {
		hosts := &fakeHosts{script: func(_ string, att *wire.Attempt) ([]scriptedStep, bool) {
			return answerWithGap(att, 20*time.Millisecond), true
		}}
		dispatcher := newTestDispatcher(hosts, 3)
		sink := Sink{Tokens: func(string, []string) error { return errors.New("gone") }}
		result := dispatcher.Do(context.Background(), testRequest(hosts, 1, repeatable), sink)
		want := Unknown
		if !repeatable {
			want = Answered // the caller can send the key again and receive the answer
		}
		if result.Outcome != want || result.Attempts != 1 {
			t.Errorf("repeatable %t: got %s after %d attempts, want %s after 1", repeatable, result.Outcome, result.Attempts, want)
		}
	}
}

// Guards against reporting a request that never ran as unknown, or one that may have
// run as notRun. The outcome depends on the proofs of all attempts.
func TestOutcomeOfSeveralAttempts(t *testing.T) {
	refused := []scriptedStep{{frame: &wire.Frame{Kind: frameRefused, Reason: "busy"}}}
	broken := []scriptedStep{{err: io.ErrUnexpectedEOF}}
	cases := []struct {
		name        string
		first       []scriptedStep
		reachable   bool
		cancelState string
		repeatable  bool
		want        Outcome
	}{
		{"refused everywhere", refused, true, "", false, NotRun},
		{"not reachable", nil, false, "", false, NotRun},
		{"broken, proven never begun", broken, true, "neverBegun", false, NotRun},
		{"broken", broken, true, "ended", false, Unknown},
		{"broken, another incarnation", broken, true, "otherIncarnation", false, Unknown},
		{"broken, repeatable", broken, true, "ended", true, Unknown},
	}
	for _, test := range cases {
		t.Run(test.name, func(t *testing.T) {
			hosts := &fakeHosts{cancelState: test.cancelState}
			hosts.script = func(string, *wire.Attempt) ([]scriptedStep, bool) {
				return slices.Clone(test.first), test.reachable
			}
			dispatcher := newTestDispatcher(hosts, 2)
			advanceClock(t, hosts.clock)
			result := dispatcher.Do(context.Background(), testRequest(hosts, 1, test.repeatable), Sink{})
			if result.Outcome != test.want {
				t.Errorf("got %s, want %s", result.Outcome, test.want)
			}
			if result.Err == nil || result.Err.Remedy() == "" {
				t.Errorf("got error %v, want one with a remedy", result.Err)
			}
		})
	}
}

// Guards against a caller that waits until its deadline although its request is
// already known to miss it.
func TestLateRequestRejectedAtOnce(t *testing.T) {
	release := make(chan struct{})
	hosts := &fakeHosts{}
	hosts.script = func(_ string, att *wire.Attempt) ([]scriptedStep, bool) {
		if att.GetPrompt() == "hold" {
			<-release
		}
		return answerWithGap(att, 20*time.Millisecond), true
	}
	dispatcher := newTestDispatcher(hosts, 1)
	for number := range 5 {
		dispatcher.Do(context.Background(), testRequest(hosts, number, true), Sink{})
	}
	var running sync.WaitGroup
	held := testRequest(hosts, 9, true)
	held.Prompt = "hold"
	running.Go(func() { dispatcher.Do(context.Background(), held, Sink{}) })
	for dispatcher.pool("lane").inFlightCount() == 0 {
		time.Sleep(time.Millisecond)
	}
	late := testRequest(hosts, 10, true)
	late.Deadline = hosts.clock.Now().Add(100 * time.Millisecond)
	result := dispatcher.Do(context.Background(), late, Sink{})
	if result.Outcome != NotRun || !errors.Is(result.Err, ErrLate) || result.Attempts != 0 {
		t.Errorf("got %s after %d attempts: %v, want notRun after none", result.Outcome, result.Attempts, result.Err)
	}
	if result.Err.RetryAfter() == 0 {
		t.Error("got no retry-after time, want one")
	}
	close(release)
	running.Wait()
}

// inFlightCount returns the number of attempts in progress.
func (p *hostPool) inFlightCount() int {
	p.mu.Lock()
	defer p.mu.Unlock()
	return p.inFlight
}
