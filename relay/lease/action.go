package lease

import (
	"fmt"
	"time"
)

// step is the kind of an action that the state machine requests.
type step string

const (
	stepSleep     step = "sleep"     // sleep until action.until
	stepLatest    step = "latest"    // fetch the service's current revision
	stepGet       step = "get"       // read the key
	stepWatch     step = "watch"     // wait for a change of the key
	stepGrant     step = "grant"     // request a lease
	stepSwap      step = "swap"      // create the key, bound to the lease
	stepKeepAlive step = "keepAlive" // renew the lease
	stepRevoke    step = "revoke"    // revoke the lease; the result is ignored
)

// action is one step with its parameters.
type action struct {
	step  step
	until time.Time     // sleep: when it ends
	lease string        // swap, keepAlive, revoke: lease ID
	after uint64        // watch: report changes after this revision
	ttl   time.Duration // grant: requested TTL
	// timeout limits a call. For a watch it is added to the watch's wait time.
	timeout time.Duration
}

// String formats the action for test scripts and logs.
func (a action) String() string {
	switch a.step {
	case stepSwap, stepKeepAlive, stepRevoke:
		return fmt.Sprintf("%s lease=%s", a.step, a.lease)
	case stepGrant:
		return fmt.Sprintf("%s ttl=%s", a.step, a.ttl)
	case stepWatch:
		return fmt.Sprintf("%s after=%d", a.step, a.after)
	default:
		return string(a.step)
	}
}

// result is the outcome of an action.
type result struct {
	err      error
	found    bool   // get: the key exists; watch: the key changed
	holder   string // get: the key's value
	revision uint64 // get, swap: revision of the key; latest, watch: revision of the service
	lease    string // grant: lease ID
}
