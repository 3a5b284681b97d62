package once

import (
	"runtime"
	"testing"
	"time"

	"github.com/google/uuid"
)

// BenchmarkBytesPerKey reports the memory used per remembered key, with keys
// created at an even rate over one hour.
func BenchmarkBytesPerKey(b *testing.B) {
	const keys = 360_000 // 100 a second
	for b.Loop() {
		before := heap()
		authority := NewAuthority("o", Options{MaxKeys: 2 * keys, MaxAnswerBytes: 1})
		for n := range keys {
			made := testStart.Add(time.Duration(n) * time.Hour / keys)
			authority.Claim(made, Claim{Key: NewKey("o", idAt(made, uint32(n))), Nonce: uuid.UUID{1}})
		}
		b.ReportMetric(float64(heap()-before)/float64(authority.Keys()), "bytes/key")
		runtime.KeepAlive(authority)
	}
}

func heap() uint64 {
	runtime.GC()
	var stats runtime.MemStats
	runtime.ReadMemStats(&stats)
	return stats.HeapAlloc
}

func BenchmarkClaim(b *testing.B) {
	authority := NewAuthority("o", Options{MaxKeys: 1 << 30, MaxAnswerBytes: 1})
	b.ReportAllocs()
	n := uint32(0)
	for b.Loop() {
		n++
		claim := Claim{Key: NewKey("o", idAt(testStart, n)), Nonce: uuid.UUID{1}}
		authority.Claim(testStart, claim)
		authority.Settle(testStart, claim, RunAnswered, nil)
	}
}
