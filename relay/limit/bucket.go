// Package limit enforces customers' limits and fairness between customers: token buckets, the share
// of a deployment-wide limit that one entry holds, and the fair queue.
package limit

import (
	"math"
	"time"
)

// burstSpan is the time over which a bucket can accumulate unused units.
const burstSpan = time.Second

// Bucket is a token bucket whose rate may change. The zero Bucket is full at
// its first use. It is not safe for concurrent use.
type Bucket struct {
	level     float64   // units available; may fall below 0, never above the burst
	updatedAt time.Time // when level was computed; zero before the first use
}

// Drained returns a bucket that is empty at the given time.
func Drained(now time.Time) Bucket { return Bucket{updatedAt: now} }

// Take withdraws cost units if the bucket, filled at rate units per second, holds them. A cost
// larger than the burst needs a full bucket and leaves it in debt, so that the cost is possible at
// all and paid for afterwards. Otherwise wait is the time until Take would succeed. A rate of 0 or
// less means no limit.
func (b *Bucket) Take(now time.Time, rate, cost float64) (ok bool, wait time.Duration) {
	if rate <= 0 {
		return true, 0
	}
	if wait := b.Wait(now, rate, cost); wait > 0 {
		return false, wait
	}
	b.level -= cost
	return true, 0
}

// Wait returns the time until Take would succeed; 0 means at once. A cost larger than the burst
// needs no more than the burst.
func (b *Bucket) Wait(now time.Time, rate, cost float64) time.Duration {
	if rate <= 0 {
		return 0
	}
	burst := b.fill(now, rate)
	needed := math.Min(cost, burst)
	if b.level >= needed {
		return 0
	}
	// Add a nanosecond: filling rounds, and a bucket short by the last bit would refuse a caller
	// that waited exactly the returned time.
	return time.Duration(math.Ceil((needed-b.level)/rate*float64(time.Second))) + time.Nanosecond
}

// Level returns the units in the bucket.
func (b *Bucket) Level(now time.Time, rate float64) float64 {
	b.fill(now, rate)
	return b.level
}

// Refund returns units that were taken but not used.
func (b *Bucket) Refund(units float64) { b.level += units }

// fill adds the units accumulated since the last call and returns the burst, the most that the
// bucket holds.
func (b *Bucket) fill(now time.Time, rate float64) (burst float64) {
	burst = math.Max(1, rate*burstSpan.Seconds())
	if b.updatedAt.IsZero() {
		b.level, b.updatedAt = burst, now
		return burst
	}
	passed := now.Sub(b.updatedAt).Seconds()
	if passed < 0 {
		passed = 0
	}
	b.level = math.Min(burst, b.level+passed*rate)
	b.updatedAt = now
	return burst
}
