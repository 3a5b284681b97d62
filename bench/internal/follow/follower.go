// Package follow polls the nodes of a deployment for the revision that each has
// in force, and measures how long a change takes to reach them.
package follow

import (
	"context"
	"encoding/json"
	"net/http"
	"sync"
	"time"

	"github.com/HdrHistogram/hdrhistogram-go"

	"comfreyrelay.example/bench/internal/deployment"
)

// Interval is the time between two polls of a node; it bounds the error of a
// measured time.
const Interval = 50 * time.Millisecond

// Follower polls every node for its revision in force and records the time from
// the acceptance of a revision until the node has it.
type Follower struct {
	members []*deployment.Member
	client  *http.Client

	mu         sync.Mutex
	inForce    *hdrhistogram.Histogram // microseconds from acceptance to in force
	acceptedAt map[uint32]time.Time    // by revision
	latest     uint32                  // newest accepted revision
	revision   map[string]uint32       // by node: the highest one seen
	reverts    int                     // how often a node's revision fell
}

// New returns a Follower of the members; polling starts with During.
func New(members []*deployment.Member) *Follower {
	return &Follower{
		members:    members,
		client:     &http.Client{Timeout: time.Second, Transport: &http.Transport{MaxIdleConnsPerHost: 1}},
		inForce:    NewTimes(),
		acceptedAt: map[uint32]time.Time{},
		revision:   map[string]uint32{},
	}
}

// During runs do, polls the nodes meanwhile and returns the error of do.
func (f *Follower) During(ctx context.Context, do func() error) error {
	polling, stop := context.WithCancel(ctx)
	var pollers sync.WaitGroup
	for _, m := range f.members {
		pollers.Go(func() { f.poll(polling, m) })
	}
	err := do()
	stop()
	pollers.Wait()
	return err
}

// Accepted records that the revision was accepted now. A node that already has
// it, because it applied the revision before the submitter got its reply, counts
// as a time of 0.
func (f *Follower) Accepted(revision uint32, now time.Time) {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.acceptedAt[revision] = now
	f.latest = revision
	for _, seen := range f.revision {
		if seen >= revision {
			Record(f.inForce, 0)
		}
	}
}

// Wait blocks until every node has the revision or a later one, or ctx ends.
func (f *Follower) Wait(ctx context.Context, revision uint32) error {
	for !f.allReached(revision) {
		if err := pause(ctx, Interval); err != nil {
			return err
		}
	}
	return nil
}

func (f *Follower) allReached(revision uint32) bool {
	f.mu.Lock()
	defer f.mu.Unlock()
	for _, m := range f.members {
		if f.revision[m.ID()] < revision {
			return false
		}
	}
	return true
}

// Reverts returns how often a node went back to an older revision.
func (f *Follower) Reverts() int {
	f.mu.Lock()
	defer f.mu.Unlock()
	return f.reverts
}

func (f *Follower) poll(ctx context.Context, m *deployment.Member) {
	for pause(ctx, Interval) == nil {
		if revision, ok := f.fetchRevision(ctx, m); ok {
			f.observe(m.ID(), revision, time.Now())
		}
	}
}

// observe takes the result of a poll: it records the time for each revision that
// the node has reached since the previous poll, and counts reverts.
func (f *Follower) observe(node string, revision uint32, now time.Time) {
	f.mu.Lock()
	defer f.mu.Unlock()
	last := f.revision[node]
	// A restarted process reports revision 0 at first, which is not a revert.
	if revision < last && revision > 0 {
		f.reverts++
	}
	if revision > last {
		f.revision[node] = revision
	}
	for reached := last + 1; reached <= min(revision, f.latest); reached++ {
		if at, measured := f.acceptedAt[reached]; measured {
			Record(f.inForce, now.Sub(at))
		}
	}
}

// nodeVars is the part of /debug/vars that holds the revision in force.
type nodeVars struct {
	AgentState struct {
		Revision uint32 `json:"revision"`
	} `json:"agentState"`
	EntryState struct {
		Revision uint32 `json:"revision"`
	} `json:"entryState"`
}

func (f *Follower) fetchRevision(ctx context.Context, m *deployment.Member) (uint32, bool) {
	request, err := http.NewRequestWithContext(ctx, http.MethodGet, "http://"+m.OperatorsAddress()+"/debug/vars", nil)
	if err != nil {
		return 0, false
	}
	answer, err := f.client.Do(request)
	if err != nil {
		return 0, false
	}
	defer answer.Body.Close()
	var vars nodeVars
	if json.NewDecoder(answer.Body).Decode(&vars) != nil {
		return 0, false
	}
	return max(vars.AgentState.Revision, vars.EntryState.Revision), true
}

// Seconds returns a percentile of the time, in seconds, from the acceptance of a
// revision until a node had it in force.
func (f *Follower) Seconds(percentile float64) float64 {
	f.mu.Lock()
	defer f.mu.Unlock()
	return Seconds(f.inForce, percentile)
}

func pause(ctx context.Context, wait time.Duration) error {
	timer := time.NewTimer(wait)
	defer timer.Stop()
	select {
	case <-timer.C:
		return nil
	case <-ctx.Done():
		return ctx.Err()
	}
}
