package lease

import "strings"

// holderValue returns the value of a lease key. The lease's identifier is part
// of it: a swap whose reply was lost may take effect late, bound to a lease
// that its writer has given up meanwhile. Without the identifier the writer
// would take the key for one that its present lease keeps alive, and would
// still believe it after the old lease lapsed and another holder came.
func holderValue(incarnation, lease string) string {
	return incarnation + " " + lease
}

// Incarnation returns the holder's incarnation from the value of a lease key.
func Incarnation(value []byte) string {
	incarnation, _, _ := strings.Cut(string(value), " ")
	return incarnation
}

// keyPrefix is the prefix of all lease keys.
const keyPrefix = "lease/"

// Key returns the key of the named lease.
func Key(name string) string { return keyPrefix + name }
