package admission

import (
	"testing"
	"time"

	"comfreyrelay.example/relay/catalog"
	"comfreyrelay.example/relay/engine"
	"comfreyrelay.example/relay/fleet"
)

var spec = &catalog.Engine{
	Slots: 16, StepsPerPass: 5, StepMillis: 8.87, PerSeqMillis: 0.0388, ContextMillis: 0.0227,
	PromptTokensPerSecond: 19100, ChunkTokens: 2048, MeanPromptTokens: 977, MeanAnswerTokens: 94,
}

const ms = time.Millisecond

// epoch is the time of the tests.
var epoch = time.Date(2026, 1, 1, 0, 0, 0, 0, time.UTC)

// newStream returns a request for a stream that arrives at the given time after epoch, whose caller waits
// for timeout.
func newStream(arrival, timeout time.Duration) *Request {
	req := &Request{Engine: spec, Prompt: 900, Answer: 94, Priority: 1, Patience: Patience(400*ms, 400*ms), Arrived: epoch.Add(arrival)}
	req.SetDeadline(0, timeout)
	return req
}

// Guards against a wait or a refusal that follows from anything but the caller's time and the work left: a
// request waits as long as it can still be complete in its caller's time, and no longer.
func TestWaitEndsWhenWorkNoLongerFits(t *testing.T) {
	first := engine.FirstEventTime(spec, spec.Slots, 900)
	rest := 18 * engine.UsualPassTime(spec, spec.Slots) // 94 tokens, five in a pass
	margin := func(work time.Duration) time.Duration { return time.Duration(workMargin * float64(work)) }
	for _, test := range []struct {
		name string
		req  *Request
		want time.Duration
	}{
		{"its caller would give up before the first event", newStream(0, 30*time.Second), 3200*ms - margin(first)},
		{"its caller's time ends before the last event", newStream(0, 4*time.Second), 4*time.Second - margin(first+rest)},
		{"arrived later", newStream(time.Second, 4*time.Second), 5*time.Second - margin(first+rest)},
	} {
		if got := test.req.LatestStart().Sub(epoch); got != test.want {
			t.Errorf("%s: got a latest start after %v, want %v", test.name, got, test.want)
		}
	}
	begun := newStream(0, 6*time.Second)
	begun.Progress(epoch.Add(time.Second), 40)
	reread := engine.FirstEventTime(spec, spec.Slots, 940)
	if got, want := begun.LatestStart().Sub(epoch), 4200*ms-margin(reread); got != want {
		t.Errorf("answer in progress: got a latest start after %v, want %v, before its caller gives up", got, want)
	}
	slow := newStream(0, 12*time.Second)
	slow.Received(epoch.Add(4 * time.Second))
	if got, want := slow.LatestStart().Sub(epoch), 7200*ms-margin(first); got != want || slow.Hopeless(epoch.Add(4*time.Second)) {
		t.Errorf("body received late: got a latest start after %v, want %v: its caller waits only from then on", got, want)
	}
	ending := newStream(0, 6*time.Second)
	ending.LimitDeadline(epoch.Add(4 * time.Second))
	if got, want := ending.LatestStart(), newStream(0, 4*time.Second).LatestStart(); !got.Equal(want) {
		t.Errorf("earlier deadline: got a latest start at %v, want %v", got, want)
	}
}

// Guards against treating a caller's retry, or another caller with less time, differently from a first try
// with the same time left.
func TestRetriesAreTreatedAsFirstTries(t *testing.T) {
	retry, firstTry, long := newStream(0, 2500*ms), newStream(0, 2500*ms), newStream(0, 6*time.Second)
	if !retry.LatestStart().Equal(firstTry.LatestStart()) || retry.Rank() != long.Rank() || retry.Need("m", "d", 3).Extra != long.Need("m", "d", 3).Extra {
		t.Errorf("got other limits for a request with less time, want the same rank and places")
	}
	if got := compareTurn(retry, long); got != 0 {
		t.Errorf("got order %d for requests that arrived together, want none", got)
	}
}

// Guards against holding a request that no endpoint can serve in its caller's time.
func TestHopelessRequestIsRecognized(t *testing.T) {
	reading := engine.ReadTime(spec, 900)
	for _, test := range []struct {
		timeout time.Duration
		want    bool
	}{{reading - ms, true}, {reading + ms, false}, {6 * time.Second, false}} {
		if got := newStream(0, test.timeout).Hopeless(epoch); got != test.want {
			t.Errorf("%v for %v of reading: got hopeless %v, want %v", test.timeout, reading, got, test.want)
		}
	}
	if !newStream(0, 6*time.Second).Hopeless(epoch.Add(3200 * ms)) {
		t.Errorf("got a request whose caller gave up counted as served in time")
	}
}

func TestPlainRequestLeavesTimeForItsWork(t *testing.T) {
	for _, test := range []struct{ work, want time.Duration }{{0, 450 * ms}, {100 * ms, 750 * ms}, {800 * ms, 450 * ms}} {
		req := &Request{WorkTime: test.work, Arrived: epoch}
		req.SetDeadline(900*ms, 1500*ms)
		if got := req.LatestStart().Sub(epoch); got != test.want {
			t.Errorf("usual time %v: got a latest start after %v, want %v", test.work, got, test.want)
		}
		if need := req.Need("", "d", 3); need.Extra != plainExtraQueue || need.MaxPendingPrefill != 0 {
			t.Errorf("got %+v, want a short queue and no bound on prompt tokens", need)
		}
	}
}

func TestWorkTimesFollowObservations(t *testing.T) {
	times := &WorkTimes{}
	if got := times.Usual("app"); got != 0 {
		t.Errorf("got %v before any answer, want 0", got)
	}
	times.Observe("app", 100*ms)
	if got := times.Usual("app"); got != 100*ms {
		t.Errorf("got %v after the first answer, want 100ms", got)
	}
	for range 200 {
		times.Observe("app", 50*ms)
	}
	if got := times.Usual("app"); got < 49*ms || got > 51*ms {
		t.Errorf("got %v after many answers of 50ms, want about that", got)
	}
}

// Guards against a retry delay that says nothing about when the caller could be served.
func TestRetryAfterIsTimeOfQueue(t *testing.T) {
	req := newStream(0, 6*time.Second)
	slotTime := time.Duration(spec.Slots) * engine.CompletionInterval(spec)
	for _, test := range []struct {
		waiting, slots, entries int
		want                    time.Duration
	}{{32, 64, 1, slotTime / 2}, {32, 64, 4, 2 * slotTime}, {32, 0, 4, 0}, {0, 64, 4, 0}} {
		if got := req.QueueTime(test.waiting, test.slots, test.entries); got != test.want {
			t.Errorf("%d waiting, %d slots, %d entries: got %v, want %v", test.waiting, test.slots, test.entries, got, test.want)
		}
	}
	if got := req.RetryAfter(fleet.Full, 700*ms); got != 700*ms {
		t.Errorf("got %v, want the time of the queue", got)
	}
	if got := req.RetryAfter(fleet.NoEndpoint, 0); got != noEndpointRetryAfter {
		t.Errorf("got %v without an endpoint, want %v", got, noEndpointRetryAfter)
	}
}

// Guards against a queue at an engine that a long prompt never fits into, and against one that grows with the
// caller's time.
func TestPromptsAheadAreBounded(t *testing.T) {
	short, long := newStream(0, 6*time.Second), newStream(0, 60*time.Second)
	long.Prompt = 20000
	ahead := short.Need("m", "d", 3).MaxPendingPrefill - short.Prompt
	if got := long.Need("m", "d", 3).MaxPendingPrefill - long.Prompt; got != ahead {
		t.Errorf("got %d and %d tokens ahead, want the same for all requests", ahead, got)
	}
	if reading := time.Duration(float64(ahead) / spec.PromptTokensPerSecond * float64(time.Second)); ahead <= 0 || reading > prefillAhead {
		t.Errorf("got %d tokens ahead, %v of reading, want at most %v", ahead, reading, prefillAhead)
	}
}
