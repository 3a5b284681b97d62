package limit

import (
	"sort"
	"time"
)

// Bounds of a Queue.
const (
	DefaultMaxWaiting = 2048 // requests waiting at once, for all customers together
	// maxPlacementTries bounds the requests that Next offers in one call.
	maxPlacementTries = 16
)

// Item is one waiting request.
type Item struct {
	Customer string
	Weight   float64   // share under overload; above 0
	Cost     float64   // expected work in any unit; above 0
	Deadline time.Time // the request is useless afterwards
	Value    any       // the caller's own handle

	queue *customerQueue // nil if it is not waiting
}

// customerQueue holds one customer's waiting requests in FIFO order.
type customerQueue struct {
	customer string
	weight   float64
	items    []*Item
	cost     float64 // sum over items
	startTag float64 // virtual start time of the head
}

// Queue orders waiting requests by start-time fair queueing: each customer's queue advances by cost
// divided by weight, and the queue with the lowest start tag goes first. A customer whose demand is
// below its share waits for at most one request of each other customer, however long their queues
// are. It is not safe for concurrent use.
type Queue struct {
	maxWaiting  int
	waiting     int     // sum of the queues' lengths
	cost        float64 // sum over the queues
	virtualTime float64 // start tag of the last request that left
	queues      map[string]*customerQueue
	finishTags  map[string]float64 // finish tag of each customer's latest request, while above virtualTime
}

// NewQueue returns an empty Queue that holds at most maxWaiting requests.
func NewQueue(maxWaiting int) *Queue {
	return &Queue{maxWaiting: maxWaiting, queues: make(map[string]*customerQueue), finishTags: make(map[string]float64)}
}

// Len returns the number of waiting requests.
func (q *Queue) Len() int { return q.waiting }

// Cost returns the total cost of the waiting requests.
func (q *Queue) Cost() float64 { return q.cost }

// Push adds a request. If that exceeds the bound, the longest queue relative to its weight loses
// its newest request, which is returned and may be the one pushed.
func (q *Queue) Push(item *Item) (dropped *Item) {
	cq := q.queues[item.Customer]
	if cq == nil {
		cq = &customerQueue{customer: item.Customer, startTag: max(q.virtualTime, q.finishTags[item.Customer])}
		q.queues[item.Customer] = cq
	}
	cq.weight = item.Weight
	cq.items = append(cq.items, item)
	item.queue = cq
	cq.cost += item.Cost
	q.waiting++
	q.cost += item.Cost
	if q.waiting <= q.maxWaiting {
		return nil
	}
	return q.dropNewest()
}

func (q *Queue) dropNewest() *Item {
	var longest *customerQueue
	for _, candidate := range q.queues {
		if longest == nil || longerByWeight(candidate, longest) {
			longest = candidate
		}
	}
	victim := longest.items[len(longest.items)-1]
	q.Remove(victim)
	return victim
}

// longerByWeight reports whether a is longer than b relative to its weight. Ties are broken by the
// customers' names.
func longerByWeight(a, b *customerQueue) bool {
	left, right := float64(len(a.items))/a.weight, float64(len(b.items))/b.weight
	if left != right {
		return left > right
	}
	return a.customer < b.customer
}

// Remove removes a request that gave up and reports whether it was still waiting.
func (q *Queue) Remove(item *Item) bool {
	cq := item.queue
	if cq == nil {
		return false
	}
	for i, other := range cq.items {
		if other == item {
			cq.items = append(cq.items[:i], cq.items[i+1:]...)
			break
		}
	}
	q.detach(item)
	return true
}

// detach updates the totals and the tags after item was taken out of its queue.
func (q *Queue) detach(item *Item) {
	cq := item.queue
	item.queue = nil
	cq.cost -= item.Cost
	q.waiting--
	q.cost -= item.Cost
	if len(cq.items) == 0 {
		delete(q.queues, cq.customer)
		q.finishTags[cq.customer] = cq.startTag
	}
	if q.waiting == 0 {
		q.reset()
	}
}

// reset clears the tags once no request waits: otherwise they would grow without bound, and former
// customers would stay in the map.
func (q *Queue) reset() {
	q.virtualTime, q.cost = 0, 0
	clear(q.finishTags)
}

// Next offers the first request of each queue to place, in fair order, until one is taken, and
// returns it, or nil if none was.
func (q *Queue) Next(place func(*Item) bool) *Item {
	if q.waiting == 0 {
		return nil
	}
	for tries, cq := range q.byStartTag() {
		if tries >= maxPlacementTries {
			return nil
		}
		head := cq.items[0]
		if !place(head) {
			continue
		}
		cq.items = cq.items[1:]
		q.virtualTime = max(q.virtualTime, cq.startTag)
		cq.startTag += head.Cost / head.Weight
		q.detach(head)
		return head
	}
	return nil
}

// byStartTag returns the queues in the order in which they are served.
func (q *Queue) byStartTag() []*customerQueue {
	queues := make([]*customerQueue, 0, len(q.queues))
	for _, cq := range q.queues {
		queues = append(queues, cq)
	}
	sort.Slice(queues, func(i, j int) bool {
		if queues[i].startTag != queues[j].startTag {
			return queues[i].startTag < queues[j].startTag
		}
		return queues[i].customer < queues[j].customer
	})
	return queues
}

// Expired removes and returns the requests whose deadline is at or before the given time.
func (q *Queue) Expired(at time.Time) []*Item {
	var expired []*Item
	for _, cq := range q.queues {
		for _, item := range cq.items {
			if !item.Deadline.After(at) {
				expired = append(expired, item)
			}
		}
	}
	for _, item := range expired {
		q.Remove(item)
	}
	return expired
}

// Ahead estimates the cost that leaves the queue before a request that the customer would push now:
// that of its own queue, and as much of the others' as their weights let pass in the meantime.
func (q *Queue) Ahead(customer string, weight float64) float64 {
	own := 0.0
	if cq := q.queues[customer]; cq != nil {
		own = cq.cost
	}
	ahead := own
	for _, other := range q.queues {
		if other.customer == customer {
			continue
		}
		passing := own*other.weight/weight + other.items[0].Cost
		ahead += min(other.cost, passing)
	}
	return ahead
}
