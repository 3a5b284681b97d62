package quarantine

import (
	"fmt"
	"testing"
	"time"
)

// deadlyAndOthers lets so many requests end three engines each, one after the other, with
// eleven other requests beside each end that are in progress at no other one.
func deadlyAndOthers(led *Ledger, deadly int) {
	const ends, beside = 3, 11
	for i := range deadly {
		for end := range ends {
			names := []string{fmt.Sprintf("deadly-%d", i)}
			for other := range beside {
				names = append(names, fmt.Sprintf("other-%d-%d-%d", i, end, other))
			}
			led.Observe(Report{End: End{Endpoint: fmt.Sprintf("i-%d-%d", i, end)}, Suspects: printsOf(names)})
		}
	}
}

// heldOf counts the held ones of the deadly requests with a number in [from, to).
func heldOf(led *Ledger, from, to int) int {
	held := 0
	for i := from; i < to; i++ {
		if _, ok := led.Held(printsOf([]string{fmt.Sprintf("deadly-%d", i)})[0]); ok {
			held++
		}
	}
	return held
}

// Symptom: a request that had ended three engines was sent again, and ended more. Sequence:
// 10,000 different requests end three engines each, others are in progress there and break
// too. Cause: at the bound what was reported longest ago was forgotten, a held request as well as
// one that broke once: 910 of the 10,000 were held at the end.
func TestHeldRequestsOutlastOthers(t *testing.T) {
	now := time.Unix(1000, 0)
	led := NewLedger(func() time.Time { return now })
	const deadly = 10_000
	deadlyAndOthers(led, deadly)
	if got, want := heldOf(led, 0, deadly), deadly; got != want {
		t.Errorf("got %d held, want all %d", got, want)
	}
	if requests, ends := led.Size(); requests > maxPairs || ends > maxPairs || led.pairs > maxPairs {
		t.Errorf("got %d requests, %d ends and %d pairs, want %d at most", requests, ends, led.pairs, maxPairs)
	}
}

// Where even those that are held are too many, those reported longest ago go, each with a log line, and
// there is room to learn of new ones.
func TestHeldRequestsAreForgottenLastAndReported(t *testing.T) {
	now := time.Unix(1000, 0)
	led := NewLedger(func() time.Time { return now })
	forgotten := map[Fingerprint]bool{}
	led.NotifyForgotten(func(print Fingerprint) { forgotten[print] = true })
	const deadly, room = 12_000, (maxPairs - sparePairs) / endsAllowed
	deadlyAndOthers(led, deadly)
	if got, want := heldOf(led, deadly-room, deadly), room; got != want {
		t.Errorf("got %d of the newest held, want %d", got, want)
	}
	if got, want := len(forgotten), deadly-heldOf(led, 0, deadly); got != want {
		t.Errorf("got a word of %d that were forgotten, want of %d", got, want)
	}
	if got, want := led.Forgotten(), len(forgotten); got != want {
		t.Errorf("got %d counted, want %d", got, want)
	}
}

// Requests that each ended two engines fill what is not held: one that ends three is held all the
// same.
func TestRoomIsLeftForAFirstEnd(t *testing.T) {
	now := time.Unix(1000, 0)
	led := NewLedger(func() time.Time { return now })
	for i := range maxPairs {
		print := printsOf([]string{fmt.Sprintf("twice-%d", i)})
		for end := range 2 {
			led.Observe(Report{End: End{Endpoint: fmt.Sprintf("i-%d-%d", i, end)}, Suspects: print})
		}
	}
	deadlyAndOthers(led, 1)
	if got, want := heldOf(led, 0, 1), 1; got != want {
		t.Errorf("got %d held, want %d", got, want)
	}
}

// floodedLedger knows of so many ends under one request, each of which also ended another one:
// one that nothing explains, or one that a heavier request explains at each.
func floodedLedger(ends int, explained bool) (*Ledger, Fingerprint) {
	now := time.Unix(1000, 0)
	led := NewLedger(func() time.Time { return now })
	often := printsOf([]string{"often"})[0]
	for i := range ends {
		report := Report{End: End{Endpoint: fmt.Sprintf("i-%d", i)}, Suspects: []Fingerprint{often}}
		if explained {
			report.Running, report.Suspects = report.Suspects, printsOf([]string{"deadly"})
		}
		for other := range 4 {
			report.Running = append(report.Running, printsOf([]string{fmt.Sprintf("other-%d-%d", i, other)})...)
		}
		led.Observe(report)
	}
	return led, often
}

// Symptom: entries answered nobody for seconds. Sequence: a request that comes often is in
// progress wherever an endpoint ends, thousands do in ten minutes, and it comes on. Cause: each
// arrival and each send summed the weight of each request at each of its ends anew, 164 ms with
// the lock held at 5,000 ends.
func TestCostOfARequestDoesNotGrowWithItsEnds(t *testing.T) {
	for _, explained := range []bool{false, true} {
		for _, ends := range []int{100, 5000} {
			led, often := floodedLedger(ends, explained)
			left, looked := led.unexplained(led.known[often])
			if most := lookedEnds * 6; looked > most {
				t.Errorf("got %d requests looked at with %d ends (explained: %v), want %d at most", looked, ends, explained, most)
			}
			if held := left >= heldWeight; held == explained {
				t.Errorf("got held: %v with %d ends, want it only where nothing explains them", held, ends)
			}
		}
	}
}

func BenchmarkHeld(b *testing.B) {
	for _, explained := range []bool{false, true} {
		led, often := floodedLedger(maxPairs/6, explained)
		b.Run(fmt.Sprintf("explained=%v", explained), func(b *testing.B) {
			for b.Loop() {
				led.Held(often)
			}
		})
	}
}

func BenchmarkObserve(b *testing.B) {
	led, often := floodedLedger(maxPairs/6, false)
	ends := 0
	for b.Loop() {
		ends++
		report := Report{End: End{Endpoint: fmt.Sprintf("n-%d", ends)}, Suspects: []Fingerprint{often}}
		for other := range 11 {
			report.Suspects = append(report.Suspects, Fingerprint{1, byte(other), byte(ends), byte(ends >> 8), byte(ends >> 16)})
		}
		led.Observe(report)
	}
}
