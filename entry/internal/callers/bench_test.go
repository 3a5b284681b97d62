package callers

import (
	"fmt"
	"testing"
)

// BenchmarkRequest measures a request through the entry to a fake agent that
// answers at once. Caller, entry and agent run in one process and communicate
// over loopback, so their cost is included.
func BenchmarkRequest(b *testing.B) {
	for _, tokens := range []int{1, 32} {
		words := make([]string, tokens)
		for i := range words {
			words[i] = fmt.Sprintf("word%d", i)
		}
		for _, accept := range []string{"application/json", "text/event-stream"} {
			b.Run(fmt.Sprintf("tokens=%d/%s", tokens, accept), func(b *testing.B) {
				deployment := newTestDeployment(b)
				deployment.addAgent("h1", answer(words...))
				entry := deployment.addEntry("e1")
				deployment.publish()
				b.ReportAllocs()
				for b.Loop() {
					if got := entry.request(b, nil, "Accept", accept); got.status != 200 {
						b.Fatal(got.raw)
					}
				}
			})
		}
	}
}

// BenchmarkOnceRequest measures a request with a once key that is owned by the
// entry itself (hops=0) or by another entry (hops=1).
func BenchmarkOnceRequest(b *testing.B) {
	for _, owner := range []int{0, 1} {
		b.Run(fmt.Sprintf("hops=%d", owner), func(b *testing.B) {
			deployment := newTestDeployment(b)
			deployment.addAgent("h1", answer("word"))
			entries := []*testEntry{deployment.addEntry("e1"), deployment.addEntry("e2")}
			deployment.publish()
			b.ReportAllocs()
			for b.Loop() {
				change := map[string]any{"repeatable": false, "key": newOnceKey(entries[owner])}
				if got := entries[0].request(b, change); got.status != 200 {
					b.Fatal(got.raw)
				}
			}
		})
	}
}
