package admission_test

import (
	"math/rand/v2"
	"strconv"
	"testing"
	"time"

	"comfreyrelay.example/relay/admission"
)

// Callers whose timeout was below nine tenths of the route's counted as returned. With
// timeouts spread evenly over 5.1 to 6 s and a route timeout of 6 s, that was a third
// of all callers. They waited behind the others, and a quarter of all streams was
// late although the engines read prompts within their targets. The times are from
// a day at the full rate; returned callers had 1 s less.
func TestNewCallersAreNotCountedAsReturned(t *testing.T) {
	for name, longest := range map[string]time.Duration{"timeout": 6 * time.Second, "longer than the timeout": 9 * time.Second} {
		for _, returnRate := range []float64{0, 0.2, 0.6} {
			callers := &admission.RetryDetector{}
			rnd := rand.New(rand.NewPCG(1, 2))
			falsePositives, missed, returned := 0, 0, 0
			const requests = 4000
			for range requests {
				timeout := time.Duration((0.85 + 0.15*rnd.Float64()) * float64(longest))
				if rnd.Float64() < returnRate {
					returned++
					if !callers.IsRetry("r", timeout-longest/6-time.Duration(rnd.Int64N(int64(longest/3)))) {
						missed++
					}
					continue
				}
				if callers.IsRetry("r", timeout) {
					falsePositives++
				}
			}
			if falsePositives > requests/500 {
				t.Errorf("%s, %.1f returned: got %d of %d new requests counted as returned, want almost none", name, returnRate, falsePositives, requests-returned)
			}
			if missed > 10+returned/10 {
				t.Errorf("%s, %.1f returned: got %d of %d returned requests missed, want at most a tenth", name, returnRate, missed, returned)
			}
		}
	}
}

func TestOutliersDoNotChangeTheUsualTimeout(t *testing.T) {
	callers := &admission.RetryDetector{}
	for i := range 100 {
		timeout := 6 * time.Second
		if i%10 == 0 {
			timeout = time.Hour
		}
		if callers.IsRetry("r", timeout) {
			t.Fatalf("request %d: got a new request counted as returned", i)
		}
	}
	if !callers.IsRetry("r", 4*time.Second) {
		t.Errorf("got a request with 4 s counted as new, want returned")
	}
	if callers.IsRetry("r", 0) {
		t.Errorf("got a request without a timeout counted as returned")
	}
	for i := range 10000 {
		callers.IsRetry(strconv.Itoa(i), time.Second)
	}
	if callers.IsRetry("r", 4*time.Second) {
		t.Errorf("got a request counted as returned on a route whose samples were dropped")
	}
}
