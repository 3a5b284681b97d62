package admission_test

import (
	"math/rand/v2"
	"strconv"
	"testing"
	"time"

	"comfreyrelay.example/relay/admission"
)

// Symptom: at the full rate a quarter of all streams are served late though
// engines read prompts within their targets. Sequence: callers give 5.1 to 6 s,
// evenly spread, where the route's timeout is 6 s. Cause: who gave less than nine
// tenths of the timeout counted as returned, a third of all, and waited behind the
// others. The times are those of a day at the full rate; who came back had 1 s less.
func TestNewCallersAreNotCountedAsReturned(t *testing.T) {
	for name, longest := range map[string]time.Duration{"timeout": 6 * time.Second, "longer than the timeout": 9 * time.Second} {
		for _, returnRate := range []float64{0, 0.2, 0.6} {
			callers := &admission.Callers{}
			rnd := rand.New(rand.NewPCG(1, 2))
			falsePositives, missed, returned := 0, 0, 0
			const requests = 4000
			for range requests {
				timeout := time.Duration((0.85 + 0.15*rnd.Float64()) * float64(longest))
				if rnd.Float64() < returnRate {
					returned++
					if !callers.Returned("r", timeout-longest/6-time.Duration(rnd.Int64N(int64(longest/3)))) {
						missed++
					}
					continue
				}
				if callers.Returned("r", timeout) {
					falsePositives++
				}
			}
			if falsePositives > requests/500 {
				t.Errorf("%s, %.1f back: got %d of %d new requests taken for returned ones, want next to none", name, returnRate, falsePositives, requests-returned)
			}
			if missed > 10+returned/10 {
				t.Errorf("%s, %.1f back: got %d of %d returned ones missed, want a tenth at most", name, returnRate, missed, returned)
			}
		}
	}
}

func TestOutliersDoNotChangeTheUsualTimeout(t *testing.T) {
	callers := &admission.Callers{}
	for i := range 100 {
		timeout := 6 * time.Second
		if i%10 == 0 {
			timeout = time.Hour
		}
		if callers.Returned("r", timeout) {
			t.Fatalf("request %d: got a new request taken for a returned one", i)
		}
	}
	if !callers.Returned("r", 4*time.Second) {
		t.Errorf("got one with 4 s taken for a new one, want returned")
	}
	if callers.Returned("r", 0) {
		t.Errorf("got one that gives no time taken for a returned one")
	}
	for i := range 10000 {
		callers.Returned(strconv.Itoa(i), time.Second)
	}
	if callers.Returned("r", 4*time.Second) {
		t.Errorf("got one returned on a route of which nothing is known any more")
	}
}
