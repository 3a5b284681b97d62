package lease

import "strings"

// holderValue returns the value of a lease key: the holder's incarnation and
// the lease ID. The lease ID is needed because a swap whose reply was lost may
// take effect late, bound to a lease that its writer has abandoned by then.
// Without the ID, the writer would assume that its current lease keeps the key
// alive, and would still do so after the old lease expired and another process
// acquired the key.
func holderValue(incarnation, lease string) string {
	return incarnation + " " + lease
}

// Incarnation extracts the holder's incarnation from the value of a lease key.
func Incarnation(value []byte) string {
	incarnation, _, _ := strings.Cut(string(value), " ")
	return incarnation
}

// keyPrefix is the prefix of all lease keys.
const keyPrefix = "lease/"

// Key returns the key of the named lease.
func Key(name string) string { return keyPrefix + name }
