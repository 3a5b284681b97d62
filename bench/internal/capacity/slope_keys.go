package capacity

import (
	"encoding/binary"
	"time"

	"github.com/google/uuid"

	"comfreyrelay.example/relay/once"
)

// Cases of the benchmark of once keys.
const (
	caseKeyBytes  = "onceKeyBytes/keys"
	caseKeyMicros = "onceClaimMicros/keys"
)

// measureKeys prints the memory of the once keys that an owner stores and the time
// to claim and settle one key.
func measureKeys(lines *printer) error {
	const owner = "0192d1f0-0000-7000-8000-000000000000"
	for _, n := range []int{1_000, 10_000, 100_000, 370_000} {
		var held *once.Authority
		grown := heapBytes(func() *once.Authority {
			held = once.NewAuthority(owner, once.Options{MaxKeys: once.DefaultMaxKeys})
			for i := range n {
				claimAndSettle(held, owner, i, n)
			}
			return held
		})
		lines.line(caseKeyBytes, n, grown, "bytes")
		next := n
		lines.line(caseKeyMicros, n, microsPerCall(func() {
			claimAndSettle(held, owner, next%n, n)
			next++
		}), "microseconds")
	}
	return nil
}

// claimAndSettle claims and settles key i of n keys created evenly over one hour.
func claimAndSettle(held *once.Authority, owner string, i, n int) {
	now := startTime.Add(time.Duration(i) * time.Hour / time.Duration(n))
	id := uuid.UUID{}
	binary.BigEndian.PutUint64(id[:8], uint64(now.UnixMilli())<<16|0x7000)
	binary.BigEndian.PutUint64(id[8:], uint64(i)&(1<<62-1)|1<<63)
	ask := once.Claim{Key: once.NewKey(owner, id), Nonce: id}
	held.Claim(now, ask)
	held.Settle(now, ask, once.RunAnswered, nil)
}
