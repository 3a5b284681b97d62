package dispatch

// maxPriority keeps a doubled priority within its type.
const maxPriority = 1 << 30

// enginePriority orders requests in an engine's queue: by the customer's
// priority, and within one priority those of a large customer last.
func enginePriority(req *Request) uint32 {
	priority := min(req.Priority, maxPriority) * 2
	if req.Large {
		return priority
	}
	return priority + 1
}
