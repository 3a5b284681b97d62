package budget

import (
	"slices"
	"time"

	"golang.org/x/time/rate"

	"comfreyrelay.example/relay/failure"
)

// maxWaiting bounds the calls that wait in one queue: callers beyond it are
// refused at once instead of piling up in memory during an outage.
const maxWaiting = 1024

// queue decides which call of one class goes next. It is pure: the caller
// passes the time in and acts on what comes back.
type queue struct {
	limiter   *rate.Limiter
	notBefore time.Time                // nothing is granted before
	waiting   [priorityLevels][]uint64 // tickets in order of arrival, by priority
}

// newQueue makes a queue that grants at most perSecond calls in any second:
// the burst and the refill of one second together make up the share. It starts
// without tokens, so that a process that restarts over and over gets no more
// than one that runs.
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

// add lets the ticket wait for its turn.
func (q *queue) add(ticket uint64, level priority) error {
	if q.length() >= maxWaiting {
		return failure.New(failure.Exhausted, "too many calls wait for the key-value service's budget",
			"raise kvReadsPerSecond and kvWritesPerSecond in the settings, or try again later")
	}
	q.waiting[level] = append(q.waiting[level], ticket)
	return nil
}

// remove forgets a ticket whose caller gave up.
func (q *queue) remove(ticket uint64) {
	for level := range q.waiting {
		i := slices.Index(q.waiting[level], ticket)
		if i >= 0 {
			q.waiting[level] = slices.Delete(q.waiting[level], i, i+1)
			return
		}
	}
}

// pump returns the tickets whose turn has come and, while others wait, how long
// it takes until the next one's turn.
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

func (q *queue) untilToken(now time.Time) time.Duration {
	missing := 1 - q.limiter.TokensAt(now)
	wait := time.Duration(missing / float64(q.limiter.Limit()) * float64(time.Second))
	return max(wait, minWait)
}

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
