package burst

import (
	"math"
	"testing"
	"time"
)

func TestFluidBound(t *testing.T) {
	const model, window = 1 << 20, 10 * time.Second
	tests := []struct {
		name   string
		hosts  int
		shared bool
		want   float64
	}{
		// One host is limited by its own link: 2 copies per window.
		{"one host", 1, false, 5},
		// 200 copies at 4 + 200*2 copies per window take 4.95 s, less than the 5 s of one link.
		{"many hosts", 200, false, 5},
		// 400 copies, sent and received, at 4 + 200*2 copies per window.
		{"many hosts, shared", 200, true, 10 * 400.0 / 404},
	}
	for _, test := range tests {
		t.Run(test.name, func(t *testing.T) {
			got := FluidBound(model, test.hosts, LinksFor(model, window, test.shared))
			if math.Abs(got-test.want) > 1e-9 {
				t.Errorf("FluidBound: got %v, want %v", got, test.want)
			}
		})
	}
}
