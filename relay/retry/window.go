package retry

import (
	"sync"
	"time"
)

// windowBuckets is the number of parts of a span by which earned repeats expire.
const windowBuckets = 10

// earnedFraction is the part of the limit that is earned. Repeats are used within a span after they
// were earned, so those in any span were earned in it or in the one before.
const earnedFraction = 0.5

// Limit limits the repeats of requests in any time span: a ratio of the requests, plus a constant.
type Limit struct {
	Ratio float64       // repeats per request
	Slack float64       // repeats per span, whatever the requests
	Span  time.Duration // greater than 0
}

// Window limits how often this process sends requests again, so that the repeats of all processes
// in any span stay within a common limit, of which each process knows its share of the slack.
//
// Repeats are earned by requests and by time, and expire a span later. A process that starts has
// earned none. So no process has to know what others, or the one that it replaces, have sent.
//
// It is safe for concurrent use.
type Window struct {
	mu      sync.Mutex
	span    time.Duration          // of the limit that was applied last; 0 before the first
	slackTo time.Duration          // until when the slack has been earned
	newest  int64                  // number of the newest bucket
	unused  [windowBuckets]float64 // earned and not used, by bucket number modulo windowBuckets
	length  time.Duration          // length of a bucket
}

// NewWindow returns a Window that earns from now on, a reading of a clock that counts suspensions
// of the machine. All other times are readings of the same clock.
func NewWindow(now time.Duration) *Window { return &Window{slackTo: now} }

// AddRequest counts a new request.
func (w *Window) AddRequest(now time.Duration, limit Limit) {
	w.mu.Lock()
	defer w.mu.Unlock()
	w.advance(now, limit)
	*w.bucket(w.newest) += earnedFraction * limit.Ratio
}

// AllowRepeat reports whether a request may be sent once more, and uses one repeat if so. It also
// returns how many repeats were left before.
func (w *Window) AllowRepeat(now time.Duration, limit Limit) (allowed bool, left float64) {
	w.mu.Lock()
	defer w.mu.Unlock()
	w.advance(now, limit)
	for _, unused := range w.unused {
		left += unused
	}
	if left < 1 {
		return false, left
	}
	w.use(1)
	return true, left
}

// use takes the oldest of the repeats that are left. The caller holds w.mu.
func (w *Window) use(count float64) {
	for number := max(0, w.newest-windowBuckets+1); number <= w.newest; number++ {
		unused := w.bucket(number)
		used := min(*unused, count)
		*unused -= used
		count -= used
	}
}

// advance starts new buckets, which drops expired repeats, and adds the slack earned since the
// last call. The caller holds w.mu.
func (w *Window) advance(now time.Duration, limit Limit) {
	if limit.Span != w.span {
		w.resize(now, limit.Span)
	}
	current := int64(now / w.length)
	for number := max(w.newest, current-windowBuckets) + 1; number <= current; number++ {
		*w.bucket(number) = 0
	}
	w.newest = current
	w.earnSlack(max(w.slackTo, time.Duration(current-windowBuckets+1)*w.length), now, limit.Slack)
	w.slackTo = now
}

// earnSlack adds the slack earned within a time that ends in the newest bucket. The caller holds w.mu.
func (w *Window) earnSlack(from, to time.Duration, slack float64) {
	perSecond := earnedFraction * slack / w.span.Seconds()
	for number := int64(from / w.length); from < to; number++ {
		end := to
		if number < w.newest {
			end = time.Duration(number+1) * w.length
		}
		*w.bucket(number) += perSecond * (end - from).Seconds()
		from = end
	}
}

// resize applies another span, after which all repeats have to be earned again. The caller holds
// w.mu.
func (w *Window) resize(now, span time.Duration) {
	if w.span != 0 {
		w.slackTo = now
	}
	clear(w.unused[:])
	w.span, w.length = span, span/windowBuckets
	w.newest = int64(now / w.length)
}

// bucket returns the repeats left in the bucket of that number.
func (w *Window) bucket(number int64) *float64 { return &w.unused[number%windowBuckets] }
