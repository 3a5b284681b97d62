package lease

import (
	"fmt"
	"time"
)

// step names what the runner is to do next.
type step string

const (
	stepSleep     step = "sleep"     // until Action.until
	stepLatest    step = "latest"    // learn the service's revision
	stepGet       step = "get"       // read the key
	stepWatch     step = "watch"     // wait for a change of the key
	stepGrant     step = "grant"     // ask for a lease
	stepSwap      step = "swap"      // write the key, bound to the lease
	stepKeepAlive step = "keepAlive" // renew the lease
	stepRevoke    step = "revoke"    // end the lease, whatever comes of it
)

// action is one step with what it needs.
type action struct {
	step  step
	until time.Time     // of a sleep
	lease string        // of swap, keepAlive and revoke
	after uint64        // of a watch
	ttl   time.Duration // of a grant
	// timeout is when a call, or a watch after its wait, is given up.
	timeout time.Duration
}

// String writes the action for scripts and logs.
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

// result is what came of an action.
type result struct {
	err      error
	found    bool   // get: the key exists; watch: the key changed
	holder   string // get: the key's value
	revision uint64 // get, swap: of the key; latest, watch: of the service
	lease    string // grant
}
