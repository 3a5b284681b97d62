package limit

import "time"

// activeSpan is how long a customer counts after its last request.
const activeSpan = 10 * time.Second

// Standing compares the customers' use of what they share, to tell a large one
// from the others. It is not safe for concurrent use.
type Standing struct {
	users    map[string]*user
	inFlight int // sum over users
}

type user struct {
	weight   float64
	inFlight int
	seen     time.Time // last request
}

// NewStanding returns a Standing without customers.
func NewStanding() *Standing { return &Standing{users: make(map[string]*user)} }

// Seen notes a request of a customer.
func (s *Standing) Seen(now time.Time, customer string, weight float64) {
	found := s.users[customer]
	if found == nil {
		s.forget(now)
		found = &user{}
		s.users[customer] = found
	}
	found.weight, found.seen = weight, now
}

// Begin counts a request that starts; the customer was Seen.
func (s *Standing) Begin(customer string) { s.add(customer, 1) }

// End counts a request that ends.
func (s *Standing) End(customer string) { s.add(customer, -1) }

func (s *Standing) add(customer string, change int) {
	if found := s.users[customer]; found != nil {
		found.inFlight += change
		s.inFlight += change
	}
}

// Large reports whether the customer uses much more than its fair share among
// those that were active lately: more than twice of it, and more than half way
// between it and all. Alone, no customer is large.
func (s *Standing) Large(now time.Time, customer string) bool {
	found := s.users[customer]
	if found == nil || s.inFlight == 0 {
		return false
	}
	weights := 0.0
	for _, each := range s.users {
		if each.inFlight > 0 || now.Sub(each.seen) < activeSpan {
			weights += each.weight
		}
	}
	fair := found.weight / weights
	return float64(found.inFlight)/float64(s.inFlight) > min(2*fair, (1+fair)/2)
}

// forget drops customers that were not active lately.
func (s *Standing) forget(now time.Time) {
	for name, each := range s.users {
		if each.inFlight == 0 && now.Sub(each.seen) >= activeSpan {
			delete(s.users, name)
		}
	}
}
