package onsite

import "testing"

// Guards against requests that reach an engine a second late, behind weights that were on their way
// to its host when its link became narrow.
func TestInFlightBytesToAServingHostAreBounded(t *testing.T) {
	for size, want := range map[int]int{0: 3, 24576: 4, 32768: 3, 96 << 10: 1, 1 << 20: 1} {
		if got := maxServingFetches(size); got != want {
			t.Errorf("chunks of %d bytes: got %d on their way, want %d", size, got, want)
		}
	}
}
