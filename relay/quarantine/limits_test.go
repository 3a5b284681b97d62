package quarantine

import (
	"fmt"
	"testing"
	"time"
)

// observeDeadlyRequests reports three ends for each of the given number of deadly requests. At each
// end eleven other requests are in progress, which are at no other end.
func observeDeadlyRequests(led *Ledger, deadly int) {
	const ends, others = 3, 11
	for i := range deadly {
		for end := range ends {
			names := []string{fmt.Sprintf("deadly-%d", i)}
			for other := range others {
				names = append(names, fmt.Sprintf("other-%d-%d-%d", i, end, other))
			}
			led.Observe(Report{End: End{Endpoint: fmt.Sprintf("i-%d-%d", i, end)}, Suspects: fingerprintsOf(names)})
		}
	}
}

// countHeld counts the held ones among the deadly requests with numbers in [from, to).
func countHeld(led *Ledger, from, to int) int {
	held := 0
	for i := from; i < to; i++ {
		if _, ok := led.Held(fingerprintsOf([]string{fmt.Sprintf("deadly-%d", i)})[0]); ok {
			held++
		}
	}
	return held
}

// Guards against a request that ended three endpoints being sent again: 10,000 different requests
// end three endpoints each, with other requests in progress there. When the ledger was full it used
// to evict whatever was reported longest ago, held requests as well as requests with a single end,
// and only 910 of the 10,000 were still held at the end.
func TestHeldRequestsAreForgottenLast(t *testing.T) {
	now := time.Unix(1000, 0)
	led := NewLedger(func() time.Time { return now })
	const deadly = 10_000
	observeDeadlyRequests(led, deadly)
	if got, want := countHeld(led, 0, deadly), deadly; got != want {
		t.Errorf("got %d held, want all %d", got, want)
	}
	if requests, ends := led.Size(); requests > maxObservations || ends > maxObservations || led.observationCount > maxObservations {
		t.Errorf("got %d requests, %d ends and %d observations, want %d at most", requests, ends, led.observationCount, maxObservations)
	}
}

// If there are too many held requests, those reported longest ago are evicted, each is passed to the
// NotifyForgotten function, and room remains for new requests.
func TestForgottenHeldRequestsAreReported(t *testing.T) {
	now := time.Unix(1000, 0)
	led := NewLedger(func() time.Time { return now })
	forgotten := map[Fingerprint]bool{}
	led.NotifyForgotten(func(fp Fingerprint) { forgotten[fp] = true })
	const deadly, capacity = 12_000, (maxObservations - reservedObservations) / endsToHold
	observeDeadlyRequests(led, deadly)
	if got, want := countHeld(led, deadly-capacity, deadly), capacity; got != want {
		t.Errorf("got %d of the newest held, want %d", got, want)
	}
	if got, want := len(forgotten), deadly-countHeld(led, 0, deadly); got != want {
		t.Errorf("got notified of %d forgotten requests, want %d", got, want)
	}
	if got, want := led.Forgotten(), len(forgotten); got != want {
		t.Errorf("got %d counted, want %d", got, want)
	}
}

// A request that ends three endpoints is held even if requests with two ends each fill the ledger.
func TestFirstEndIsRememberedWhenFull(t *testing.T) {
	now := time.Unix(1000, 0)
	led := NewLedger(func() time.Time { return now })
	for i := range maxObservations {
		fp := fingerprintsOf([]string{fmt.Sprintf("twice-%d", i)})
		for end := range 2 {
			led.Observe(Report{End: End{Endpoint: fmt.Sprintf("i-%d-%d", i, end)}, Suspects: fp})
		}
	}
	observeDeadlyRequests(led, 1)
	if got, want := countHeld(led, 0, 1), 1; got != want {
		t.Errorf("got %d held, want %d", got, want)
	}
}

// floodedLedger returns a ledger with the given number of ends of one frequent request, each with
// other requests in progress. If explained is set, a request with a higher score is in progress at
// each end too; otherwise nothing explains the ends.
func floodedLedger(ends int, explained bool) (*Ledger, Fingerprint) {
	now := time.Unix(1000, 0)
	led := NewLedger(func() time.Time { return now })
	frequent := fingerprintsOf([]string{"often"})[0]
	for i := range ends {
		report := Report{End: End{Endpoint: fmt.Sprintf("i-%d", i)}, Suspects: []Fingerprint{frequent}}
		if explained {
			report.Running, report.Suspects = report.Suspects, fingerprintsOf([]string{"deadly"})
		}
		for other := range 4 {
			report.Running = append(report.Running, fingerprintsOf([]string{fmt.Sprintf("other-%d-%d", i, other)})...)
		}
		led.Observe(report)
	}
	return led, frequent
}

// Guards against entries that answer no request for seconds: a frequent request is in progress wherever
// an endpoint ends, thousands of endpoints end in ten minutes, and the request keeps arriving. Each
// arrival and each send used to recompute the score of every request at every end of this one, which
// held the lock for 164 ms at 5,000 ends.
func TestScoringCostIsBounded(t *testing.T) {
	for _, explained := range []bool{false, true} {
		for _, ends := range []int{100, 5000} {
			led, frequent := floodedLedger(ends, explained)
			score, examined := led.unexplainedScore(led.subjects[frequent])
			if limit := maxScoredEnds * 6; examined > limit {
				t.Errorf("got %d observations examined with %d ends (explained: %v), want %d at most", examined, ends, explained, limit)
			}
			if held := score >= heldScore; held == explained {
				t.Errorf("got held: %v with %d ends, want it only if nothing explains them", held, ends)
			}
		}
	}
}

func BenchmarkHeld(b *testing.B) {
	for _, explained := range []bool{false, true} {
		led, frequent := floodedLedger(maxObservations/6, explained)
		b.Run(fmt.Sprintf("explained=%v", explained), func(b *testing.B) {
			for b.Loop() {
				led.Held(frequent)
			}
		})
	}
}

func BenchmarkObserve(b *testing.B) {
	led, frequent := floodedLedger(maxObservations/6, false)
	ends := 0
	for b.Loop() {
		ends++
		report := Report{End: End{Endpoint: fmt.Sprintf("n-%d", ends)}, Suspects: []Fingerprint{frequent}}
		for other := range 11 {
			report.Suspects = append(report.Suspects, Fingerprint{1, byte(other), byte(ends), byte(ends >> 8), byte(ends >> 16)})
		}
		led.Observe(report)
	}
}
