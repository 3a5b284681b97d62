package limit

import (
	"sort"
	"time"
)

// Bounds of a Queue.
const (
	DefaultMaxWaiting = 2048 // requests waiting at once, all customers together
	// maxPlacementTries bounds the heads that Next offers in one call.
	maxPlacementTries = 16
)

// Item is one waiting request.
type Item struct {
	Customer string
	Weight   float64   // share under overload; above 0
	Cost     float64   // expected work in any unit; above 0
	Deadline time.Time // it is useless afterwards
	Value    any       // the program's own handle

	queue *line // nil while it does not wait
}

// line is one customer's waiting requests, first in first out.
type line struct {
	customer string
	weight   float64
	items    []*Item
	cost     float64 // sum over items
	tag      float64 // virtual start time of the head
}

// Queue orders waiting requests by start-time fair queueing: each customer's
// line advances by cost over weight, and the line that is furthest behind goes
// first. A customer whose demand is below its share waits for at most one
// request of each other customer, however long their lines are. It is not safe
// for concurrent use.
type Queue struct {
	maxWaiting int
	waiting    int     // sum of the lines' lengths
	cost       float64 // sum over the lines
	clock      float64 // virtual time: start tag of the last request that left
	lines      map[string]*line
	last       map[string]float64 // finish tag of each customer's latest work, while above clock
}

// NewQueue returns an empty Queue that holds at most maxWaiting requests.
func NewQueue(maxWaiting int) *Queue {
	return &Queue{maxWaiting: maxWaiting, lines: make(map[string]*line), last: make(map[string]float64)}
}

// Len returns the number of requests that wait.
func (q *Queue) Len() int { return q.waiting }

// Cost returns the work of the requests that wait.
func (q *Queue) Cost() float64 { return q.cost }

// Push adds a request. Over the bound the longest line relative to its weight
// loses its newest request, which is returned (it may be the one pushed).
func (q *Queue) Push(item *Item) (dropped *Item) {
	waiting := q.lines[item.Customer]
	if waiting == nil {
		waiting = &line{customer: item.Customer, tag: max(q.clock, q.last[item.Customer])}
		q.lines[item.Customer] = waiting
	}
	waiting.weight = item.Weight
	waiting.items = append(waiting.items, item)
	item.queue = waiting
	waiting.cost += item.Cost
	q.waiting++
	q.cost += item.Cost
	if q.waiting <= q.maxWaiting {
		return nil
	}
	return q.dropNewest()
}

func (q *Queue) dropNewest() *Item {
	var longest *line
	for _, candidate := range q.lines {
		if longest == nil || outweighs(candidate, longest) {
			longest = candidate
		}
	}
	victim := longest.items[len(longest.items)-1]
	q.Remove(victim)
	return victim
}

func outweighs(a, b *line) bool {
	left, right := float64(len(a.items))/a.weight, float64(len(b.items))/b.weight
	if left != right {
		return left > right
	}
	return a.customer < b.customer
}

// Remove takes a request out that gave up; it reports whether it still waited.
func (q *Queue) Remove(item *Item) bool {
	waiting := item.queue
	if waiting == nil {
		return false
	}
	for i, other := range waiting.items {
		if other == item {
			waiting.items = append(waiting.items[:i], waiting.items[i+1:]...)
			break
		}
	}
	q.left(item)
	return true
}

func (q *Queue) left(item *Item) {
	waiting := item.queue
	item.queue = nil
	waiting.cost -= item.Cost
	q.waiting--
	q.cost -= item.Cost
	if len(waiting.items) == 0 {
		delete(q.lines, waiting.customer)
		q.last[waiting.customer] = waiting.tag
	}
	if q.waiting == 0 {
		q.reset()
	}
}

// reset forgets tags once nobody waits: without it they would grow for ever
// and customers long gone would stay in the map.
func (q *Queue) reset() {
	q.clock, q.cost = 0, 0
	clear(q.last)
}

// Next offers the heads of the lines in fair order to place until one is
// taken, and returns it; nil where none was.
func (q *Queue) Next(place func(*Item) bool) *Item {
	if q.waiting == 0 {
		return nil
	}
	for tries, waiting := range q.ordered() {
		if tries >= maxPlacementTries {
			return nil
		}
		head := waiting.items[0]
		if !place(head) {
			continue
		}
		waiting.items = waiting.items[1:]
		q.clock = max(q.clock, waiting.tag)
		waiting.tag += head.Cost / head.Weight
		q.left(head)
		return head
	}
	return nil
}

func (q *Queue) ordered() []*line {
	lines := make([]*line, 0, len(q.lines))
	for _, waiting := range q.lines {
		lines = append(lines, waiting)
	}
	sort.Slice(lines, func(i, j int) bool {
		if lines[i].tag != lines[j].tag {
			return lines[i].tag < lines[j].tag
		}
		return lines[i].customer < lines[j].customer
	})
	return lines
}

// Expired removes and returns the requests whose deadline is not after at.
func (q *Queue) Expired(at time.Time) []*Item {
	var gone []*Item
	for _, waiting := range q.lines {
		for _, item := range waiting.items {
			if !item.Deadline.After(at) {
				gone = append(gone, item)
			}
		}
	}
	for _, item := range gone {
		q.Remove(item)
	}
	return gone
}

// Ahead estimates the cost that leaves the queue before a request pushed now
// by the customer: its own line's, and as much of the others' as their weights
// let pass meanwhile.
func (q *Queue) Ahead(customer string, weight float64) float64 {
	own := 0.0
	if waiting := q.lines[customer]; waiting != nil {
		own = waiting.cost
	}
	ahead := own
	for _, other := range q.lines {
		if other.customer == customer {
			continue
		}
		passing := own*other.weight/weight + other.items[0].Cost
		ahead += min(other.cost, passing)
	}
	return ahead
}
