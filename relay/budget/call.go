package budget

import "strings"

// Kind names a call to the key-value service.
type Kind string

// The kinds of call; each counts as one read or one write of the service.
const (
	Get       Kind = "get"
	List      Kind = "list"
	Watch     Kind = "watch"
	Swap      Kind = "swap"
	Delete    Kind = "delete"
	Grant     Kind = "grant"
	KeepAlive Kind = "keepAlive"
	Revoke    Kind = "revoke"
)

// Writes reports whether the service counts the call as a write.
func (k Kind) Writes() bool {
	return k != Get && k != List && k != Watch
}

// Call is one call that is about to be made.
type Call struct {
	Kind Kind
	// Key is the key or the prefix; empty for calls on leases.
	Key string
}

// Prefix returns the first segment of the key, the unit of the counters.
func (c Call) Prefix() string {
	first, _, _ := strings.Cut(c.Key, "/")
	return first
}

// priority orders the calls that wait; the smaller one goes first.
type priority int

const (
	urgent priority = iota
	normal
	priorityLevels
)

// documentPrefix is the prefix of the keys that hold the operators' document.
const documentPrefix = "document"

// rank puts lease keep-alives and the swaps of a document first: a late
// keep-alive costs the lease and a late swap keeps an operator waiting, while
// everything else can be a moment later without harm.
func (c Call) priority() priority {
	if c.Kind == KeepAlive || c.Kind == Revoke {
		return urgent
	}
	if c.Kind == Swap && c.Prefix() == documentPrefix {
		return urgent
	}
	return normal
}
