package onsite

import "testing"

// Guards against requests that reach an engine a second late because they queue behind
// weights that were in flight to its host when its link lost bandwidth.
func TestInFlightBytesToAServingHostAreBounded(t *testing.T) {
	for size, want := range map[int]int{0: 3, 24576: 4, 32768: 3, 96 << 10: 1, 1 << 20: 1} {
		if got := maxServingFetches(size); got != want {
			t.Errorf("chunks of %d bytes: got %d in flight, want %d", size, got, want)
		}
	}
}
