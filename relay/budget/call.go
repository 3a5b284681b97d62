package budget

import "strings"

// Kind is the kind of a call to the key-value service.
type Kind string

// The kinds of calls. Each counts as one read or one write at the service.
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

// Call describes a call that is about to be made.
type Call struct {
	Kind Kind
	// Key is the key or key prefix; empty for calls on leases.
	Key string
}

// Prefix returns the first segment of the key, by which calls are counted.
func (c Call) Prefix() string {
	first, _, _ := strings.Cut(c.Key, "/")
	return first
}

// priority orders waiting calls; lower values go first.
type priority int

const (
	urgent priority = iota
	normal
	priorityLevels
)

// documentPrefix is the prefix of the keys that hold the operators' document.
const documentPrefix = "document"

// priority puts keep-alives, revocations and swaps of a document first: a late
// keep-alive loses the lease, and a late swap keeps an operator waiting. A short delay
// of any other call does no harm.
func (c Call) priority() priority {
	if c.Kind == KeepAlive || c.Kind == Revoke {
		return urgent
	}
	if c.Kind == Swap && c.Prefix() == documentPrefix {
		return urgent
	}
	return normal
}
