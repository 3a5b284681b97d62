package admission_test

import (
	"testing"
	"time"

	"comfreyrelay.example/relay/admission"
	"comfreyrelay.example/relay/catalog"
)

var spec = &catalog.Engine{
	Slots: 16, StepsPerPass: 5, StepMillis: 8.87, PerSeqMillis: 0.0388, ContextMillis: 0.0227,
	PromptTokensPerSecond: 19100, ChunkTokens: 2048, MeanPromptTokens: 977, MeanAnswerTokens: 94,
}

const ms = time.Millisecond

func TestMaxUnreadCanBeReadInTime(t *testing.T) {
	fresh := admission.MaxUnread(spec, 500*ms, false)
	waited := admission.MaxUnread(spec, 300*ms, false)
	if fresh <= waited {
		t.Errorf("got %d and %d tokens, want fewer for a request that has waited", fresh, waited)
	}
	if seconds := float64(fresh) / spec.PromptTokensPerSecond; seconds > 0.5 {
		t.Errorf("got %d tokens, %.2f s of reading, want less than the target", fresh, seconds)
	}
	if late := admission.MaxUnread(spec, -time.Second, true); late > waited {
		t.Errorf("got %d tokens for a late request, want no more than %d", late, waited)
	}
}

// While all engines were full, callers were refused only after two seconds and had no
// time left to retry: the wait was not bounded by the caller's timeout.
func TestMaxWaitLeavesTimeToRun(t *testing.T) {
	for _, test := range []struct{ target, timeout, want time.Duration }{
		{400 * ms, 6000 * ms, 2200 * ms}, {400 * ms, 3000 * ms, 1000 * ms}, {400 * ms, time.Second, 50 * ms},
	} {
		if got := admission.MaxWait(test.target, test.timeout); got != test.want {
			t.Errorf("%v within %v: got %v, want %v", test.target, test.timeout, got, test.want)
		}
	}
}

func TestRetryAfterIsBounded(t *testing.T) {
	if got, want := admission.RetryAfter(0, ms), time.Second; got != want {
		t.Errorf("got %v, want %v", got, want)
	}
	if got, want := admission.RetryAfter(1000, 100*ms), 2*time.Second; got != want {
		t.Errorf("got %v, want %v", got, want)
	}
	for slots, want := range map[int]int{16: -4, 12: -4, 8: -3} {
		if got := admission.ExtraQueue(slots, true); got != want {
			t.Errorf("%d slots: got %d requests beyond them for a late request, want %d", slots, got, want)
		}
		if got := admission.ExtraQueue(slots, false); got != 0 {
			t.Errorf("%d slots: got %d requests beyond them, want none", slots, got)
		}
	}
	if got, want := admission.LatestStart(400*ms, 900*ms), 50*ms; got != want {
		t.Errorf("got %v, want %v", got, want)
	}
}
