package quarantine

import (
	"fmt"
	"testing"
	"time"
)

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
		led.Hear(report)
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

func BenchmarkHear(b *testing.B) {
	led, often := floodedLedger(maxPairs/6, false)
	ends := 0
	for b.Loop() {
		ends++
		report := Report{End: End{Endpoint: fmt.Sprintf("n-%d", ends)}, Suspects: []Fingerprint{often}}
		for other := range 11 {
			report.Suspects = append(report.Suspects, Fingerprint{1, byte(other), byte(ends), byte(ends >> 8), byte(ends >> 16)})
		}
		led.Hear(report)
	}
}
