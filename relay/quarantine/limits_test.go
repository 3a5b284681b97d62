package quarantine

import (
	"fmt"
	"testing"
	"time"
)

// deadlyAndOthers lets so many requests end three engines each, one after the other, with
// eleven other requests beside each end that are in progress at no other one.
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

// heldOf counts the held ones of the deadly requests with a number in [from, to).
func countHeld(led *Ledger, from, to int) int {
	held := 0
	for i := from; i < to; i++ {
		if _, ok := led.Held(fingerprintsOf([]string{fmt.Sprintf("deadly-%d", i)})[0]); ok {
			held++
		}
	}
	return held
}

// Symptom: a request that had ended three engines was sent again, and ended more. Sequence:
// 10,000 different requests end three engines each, others are in progress there and break
// too. Cause: at the bound what was reported longest ago was forgotten, a held request as well as
// one that broke once: 910 of the 10,000 were held at the end.
func TestHeldRequestsAreForgottenLast(t *testing.T) {
	now := time.Unix(1000, 0)
	led := NewLedger(func() time.Time { return now })
	const deadly = 10_000
	observeDeadlyRequests(led, deadly)
	if got, want := countHeld(led, 0, deadly), deadly; got != want {
		t.Errorf("got %d held, want all %d", got, want)
	}
	if requests, ends := led.Size(); requests > maxObservations || ends > maxObservations || led.observationCount > maxObservations {
		t.Errorf("got %d requests, %d ends and %d pairs, want %d at most", requests, ends, led.observationCount, maxObservations)
	}
}

// Where even those that are held are too many, those reported longest ago go, each with a log line, and
// there is room to learn of new ones.
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
		t.Errorf("got a word of %d that were forgotten, want of %d", got, want)
	}
	if got, want := led.Forgotten(), len(forgotten); got != want {
		t.Errorf("got %d counted, want %d", got, want)
	}
}

// Requests that each ended two engines fill what is not held: one that ends three is held all the
// same.
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

// floodedLedger knows of so many ends under one request, each of which also ended another one:
// one that nothing explains, or one that a heavier request explains at each.
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

// Symptom: entries answered nobody for seconds. Sequence: a request that comes often is in
// progress wherever an endpoint ends, thousands do in ten minutes, and it comes on. Cause: each
// arrival and each send summed the weight of each request at each of its ends anew, 164 ms with
// the lock held at 5,000 ends.
func TestScoringCostIsBounded(t *testing.T) {
	for _, explained := range []bool{false, true} {
		for _, ends := range []int{100, 5000} {
			led, frequent := floodedLedger(ends, explained)
			score, examined := led.unexplainedScore(led.requests[frequent])
			if limit := maxScoredEnds * 6; examined > limit {
				t.Errorf("got %d requests looked at with %d ends (explained: %v), want %d at most", examined, ends, explained, limit)
			}
			if held := score >= heldScore; held == explained {
				t.Errorf("got held: %v with %d ends, want it only where nothing explains them", held, ends)
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
