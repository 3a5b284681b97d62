// Package link limits the rate at which a host sends and receives. Live requests
// have priority: their bytes are charged immediately and never wait, and weight
// transfers use the remaining bandwidth.
package link

import (
	"context"
	"sync"
	"time"

	"github.com/jonboulle/clockwork"

	"comfreyrelay.example/relay/wire"
)

// Direction is a direction of traffic on a host's link.
type Direction int

// The directions, as the host sees them.
const (
	Up Direction = iota
	Down
)

const (
	// PieceBytes is the most that a transfer charges to a link at once, so that
	// live requests can be sent between the pieces.
	PieceBytes = 16 << 10
	// maxBurst is how much unused time an idle link may accumulate for a burst.
	maxBurst = 10 * time.Millisecond
	// minTransferShare is the least part of its rate that a throttled link leaves
	// to transfers, so that a rollout always makes progress.
	minTransferShare = 0.1
)

// Link limits the rate of one host's network link. It is safe for concurrent
// use.
type Link struct {
	clock clockwork.Clock
	// Both elements hold the same bucket if the directions share one rate; a nil
	// bucket means no limit.
	buckets [2]*bucket
}

// New returns a link with the rates of the settings; nil settings mean no limit.
func New(set *wire.LinkSettings, clock clockwork.Clock) *Link {
	lnk := &Link{clock: clock}
	if shared := set.GetShared(); shared > 0 {
		both := newBucket(float64(shared), clock.Now())
		lnk.buckets = [2]*bucket{both, both}
		return lnk
	}
	if rate := set.GetUp(); rate > 0 {
		lnk.buckets[Up] = newBucket(float64(rate), clock.Now())
	}
	if rate := set.GetDown(); rate > 0 {
		lnk.buckets[Down] = newBucket(float64(rate), clock.Now())
	}
	return lnk
}

// Rate returns the bytes per second of one direction; 0 means unlimited.
func (l *Link) Rate(dir Direction) float64 {
	if l.buckets[dir] == nil {
		return 0
	}
	return l.buckets[dir].rate
}

// Reserve charges bytes of a live request without waiting; later transfers wait
// for them instead.
func (l *Link) Reserve(dir Direction, bytes int) {
	if buck := l.buckets[dir]; buck != nil {
		buck.take(l.clock.Now(), float64(bytes))
	}
}

// SetSlow sets how much live requests are slowed down, from 0 to 1; transfers
// leave that part of the link free.
func (l *Link) SetSlow(slow float64) {
	share := max(minTransferShare, 1-slow)
	for _, buck := range l.buckets {
		if buck != nil {
			buck.setShare(share)
		}
	}
}

// SetShare sets the part of one direction's rate that transfers may use, from 0
// to 1. At least minTransferShare applies.
func (l *Link) SetShare(dir Direction, share float64) {
	if buck := l.buckets[dir]; buck != nil {
		buck.setShare(max(minTransferShare, share))
	}
}

// Wait charges bytes of a transfer and returns when the link has room for
// them, or with an error once ctx is done.
func (l *Link) Wait(ctx context.Context, dir Direction, bytes int) error {
	buck := l.buckets[dir]
	if buck == nil {
		return ctx.Err()
	}
	for bytes > 0 {
		piece := min(bytes, PieceBytes)
		bytes -= piece
		wait := buck.transfer(l.clock.Now(), float64(piece))
		if err := l.sleep(ctx, wait); err != nil {
			return err
		}
	}
	return nil
}

func (l *Link) sleep(ctx context.Context, wait time.Duration) error {
	if wait <= 0 {
		return ctx.Err()
	}
	select {
	case <-ctx.Done():
		return ctx.Err()
	case <-l.clock.After(wait):
		return nil
	}
}

// bucket is a token bucket whose balance may become negative: a negative balance
// is the number of bytes that are charged but not sent yet.
type bucket struct {
	rate float64 // bytes per second, positive

	mu      sync.Mutex
	share   float64   // part of the rate for transfers, minTransferShare to 1
	tokens  float64   // bytes, at most rate*maxBurst
	updated time.Time // when tokens was last refilled
}

func newBucket(rate float64, now time.Time) *bucket {
	return &bucket{rate: rate, share: 1, updated: now}
}

func (b *bucket) setShare(share float64) {
	b.mu.Lock()
	defer b.mu.Unlock()
	b.share = share
}

// take charges bytes of a live request and returns how long the link needs to
// send them.
func (b *bucket) take(now time.Time, bytes float64) time.Duration {
	b.mu.Lock()
	defer b.mu.Unlock()
	return b.charge(now, bytes)
}

// transfer charges bytes of a transfer. It divides them by the share, so that
// transfers leave the rest of the rate free.
func (b *bucket) transfer(now time.Time, bytes float64) time.Duration {
	b.mu.Lock()
	defer b.mu.Unlock()
	return b.charge(now, bytes/b.share)
}

func (b *bucket) charge(now time.Time, bytes float64) time.Duration {
	if elapsed := now.Sub(b.updated).Seconds(); elapsed > 0 {
		b.tokens = min(b.tokens+elapsed*b.rate, b.rate*maxBurst.Seconds())
		b.updated = now
	}
	b.tokens -= bytes
	if b.tokens >= 0 {
		return 0
	}
	return time.Duration(-b.tokens / b.rate * float64(time.Second))
}
