package dispatch

// maxPriority limits a priority so that doubling it does not overflow uint32.
const maxPriority = 1 << 30

// enginePriority returns the priority of a request in an engine's queue. Requests
// are ordered by the customer's priority; within one priority, those of large
// customers come last.
func enginePriority(req *Request) uint32 {
	priority := min(req.Priority, maxPriority) * 2
	if req.Large {
		return priority
	}
	return priority + 1
}
