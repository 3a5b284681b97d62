package quarantine

import (
	"fmt"
	"testing"
	"time"
)

// Guards against the failure of the entry's TestRequestsWithPartThatEndsEndpointsAreStopped at any
// fleet size: requests that differ but have a part of their prompts in common end one endpoint after
// another. Beside them come requests that have all other parts.
func TestDeadlyPartIsHeldEverywhere(t *testing.T) {
	deadly, shared := NewPartFingerprint("deadly"), NewPartFingerprint("shared")
	for _, size := range []struct {
		entries, endpoints, load int
		every                    time.Duration // mean interval between two deadly requests
		shared                   time.Duration // mean interval between two harmless requests with the shared part
		parts                    []Fingerprint // of deadly requests
		seeds                    uint64
	}{
		{9, 14, 80, 250 * time.Millisecond, 700 * time.Millisecond, []Fingerprint{shared, deadly}, 10},
		{9, 14, 80, 250 * time.Millisecond, 300 * time.Millisecond, []Fingerprint{deadly, shared}, 10},
		{9, 14, 80, 2 * time.Second, time.Second, []Fingerprint{shared, deadly}, 5},
		{98, 138, 800, 50 * time.Millisecond, 200 * time.Millisecond, []Fingerprint{shared, deadly}, 3},
		{98, 138, 800, 600 * time.Millisecond, time.Second, []Fingerprint{shared, deadly}, 3},
	} {
		for seed := uint64(1); seed <= size.seeds; seed++ {
			t.Run(fmt.Sprintf("%d entries, each %v, shared each %v, seed %d", size.entries, size.every, size.shared, seed), func(t *testing.T) {
				f := newSimFleet(seed, size.entries, size.endpoints)
				f.knownEnds = contactEnds
				f.scheduleLoadAndFaults(size.load)
				f.every(size.shared, func() { f.submitSharing([]Fingerprint{shared}) })
				f.schedule(10*time.Second, func() {
					f.every(size.every, func() {
						f.deadlyRequests++
						name := fmt.Sprintf("/deadly/%d", f.deadlyRequests)
						f.submitRequest(simRequest{fingerprint: NewFingerprint("c", "POST", "h", name, nil), parts: size.parts, deadly: true, callerRetries: 1})
					})
				})
				f.run()
				f.check(t)
				f.checkSharing(t)
			})
		}
	}
}

// contactEnds is the number of ends after which, and the time of contact, the platform allows no more
// than three requests with the part.
const contactEnds = 5

// submitSharing submits a harmless request with the given parts in its prompt.
func (f *simFleet) submitSharing(parts []Fingerprint) {
	f.harmlessRequests++
	name := fmt.Sprintf("/sharing/%d", f.harmlessRequests)
	call := &sharingCall{at: f.now}
	f.sharing = append(f.sharing, call)
	f.submitRequest(simRequest{fingerprint: NewFingerprint("c", "POST", "h", name, nil), parts: parts, sharing: call, callerRetries: 1})
}

// checkSharing checks that requests that have a part in common with deadly ones are accepted once all
// entries had twice the time to learn what causes the ends.
func (f *simFleet) checkSharing(t *testing.T) {
	t.Helper()
	since := f.lastDeadlyEnd
	if f.knownAt > 0 {
		since = f.knownAt
	}
	total, refused := 0, 0
	for _, call := range f.sharing {
		if call.at < since+2*reconnectTimeout {
			continue
		}
		total++
		if call.refused {
			refused++
		}
	}
	if total < 10 || refused > total/2 {
		t.Errorf("got %d of %d requests with the shared part refused, want half of 10 or more at most", refused, total)
	}
	t.Logf("%d of %d requests with the shared part refused", refused, total)
}
