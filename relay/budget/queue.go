package budget

import (
	"slices"
	"time"

	"golang.org/x/time/rate"

	"comfreyrelay.example/relay/failure"
)

// maxWaiting bounds the calls waiting in one queue. Further calls are refused at once
// instead of piling up in memory during an outage.
const maxWaiting = 1024

// queue decides which call of one class is made next. It does no I/O and reads no clock:
// the caller passes in the time and acts on the results.
type queue struct {
	limiter   *rate.Limiter
	notBefore time.Time                // nothing is granted earlier
	waiting   [priorityLevels][]uint64 // tickets in order of arrival, by priority
}

// newQueue returns a queue that grants at most perSecond calls in any second: the burst
// and one second's refill together make up the share. It starts without tokens, so that a
// process that keeps restarting gets no more calls than one that keeps running.
func newQueue(perSecond float64, notBefore time.Time) *queue {
	burst := max(1, int(perSecond*burstFraction))
	refill := perSecond - float64(burst)
	if refill <= 0 {
		refill = perSecond
	}
	limiter := rate.NewLimiter(rate.Limit(refill), burst)
	limiter.AllowN(notBefore, burst)
	return &queue{limiter: limiter, notBefore: notBefore}
}

// add appends a ticket to its priority's queue, unless too many calls are waiting.
func (q *queue) add(ticket uint64, level priority) error {
	if q.length() >= maxWaiting {
		return failure.New(failure.Exhausted, "too many calls wait for the key-value service's budget",
			"raise kvReadsPerSecond and kvWritesPerSecond in the settings, or try again later")
	}
	q.waiting[level] = append(q.waiting[level], ticket)
	return nil
}

// remove removes a ticket whose caller gave up.
func (q *queue) remove(ticket uint64) {
	for level := range q.waiting {
		i := slices.Index(q.waiting[level], ticket)
		if i >= 0 {
			q.waiting[level] = slices.Delete(q.waiting[level], i, i+1)
			return
		}
	}
}

// grantDue returns the tickets whose turn has come and, if others wait, the time until
// the next one's turn.
func (q *queue) grantDue(now time.Time) (tickets []uint64, next time.Duration) {
	if now.Before(q.notBefore) {
		return nil, q.notBefore.Sub(now)
	}
	for q.length() > 0 {
		if !q.limiter.AllowN(now, 1) {
			return tickets, q.untilToken(now)
		}
		tickets = append(tickets, q.pop())
	}
	return tickets, 0
}

// untilToken returns the time until the limiter has a token again.
func (q *queue) untilToken(now time.Time) time.Duration {
	missing := 1 - q.limiter.TokensAt(now)
	wait := time.Duration(missing / float64(q.limiter.Limit()) * float64(time.Second))
	return max(wait, minWait)
}

// pop removes and returns the first ticket of the highest priority.
func (q *queue) pop() uint64 {
	for level := range q.waiting {
		if len(q.waiting[level]) == 0 {
			continue
		}
		ticket := q.waiting[level][0]
		q.waiting[level] = q.waiting[level][1:]
		return ticket
	}
	return 0
}

func (q *queue) length() int {
	total := 0
	for level := range q.waiting {
		total += len(q.waiting[level])
	}
	return total
}
