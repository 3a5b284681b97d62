package revision

import (
	"fmt"
	"testing"

	"google.golang.org/protobuf/proto"
	"pgregory.net/rapid"

	"comfreyrelay.example/relay/wire"
)

func drawRoot(t *rapid.T, revision uint32) *wire.Root {
	drawn := root(revision, fmt.Sprint(revision))
	for i := range 6 {
		if content := rapid.IntRange(0, 3).Draw(t, "content"); content > 0 {
			drawn.Parts = append(drawn.Parts, &wire.Part{Name: fmt.Sprintf("customers/%02d", i), Hash: fmt.Sprint(content), Size: 7})
		}
	}
	return Slim(drawn)
}

// TestDeltaOverItsBase checks for random changes, additions and removals of
// parts that expanding a delta over its base yields the newer root, and over any
// other base nil.
func TestDeltaOverItsBase(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		base, next := drawRoot(t, 4), drawRoot(t, 7)
		delta := Delta(base, next)
		if got := Expand(base, delta); !proto.Equal(got, next) {
			t.Fatalf("got %v, want %v", got, next)
		}
		if got := Expand(next, delta); got != nil {
			t.Fatalf("got %v over another base, want nothing", got)
		}
		if got := Expand(nil, next); got != next {
			t.Fatalf("got %v for a whole root, want itself", got)
		}
	})
}
