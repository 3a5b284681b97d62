package burst

import (
	"fmt"
	"testing"
	"time"
)

// farCopies runs a fleet of 24 hosts in three regions and returns the copies of
// the version that hosts took from other regions.
func crossRegionCopies(t *testing.T, dear bool) float64 {
	t.Helper()
	s := newSim(simConfig{hosts: 24, chunks: 96, copyWindow: 12 * time.Second, seed: 3, costlyRegions: dear})
	s.run()
	if got := s.result(); got.complete != 24 {
		t.Fatalf("got %v, want 24 hosts whole", got)
	}
	pulls := 0
	for _, host := range s.hosts {
		pulls += host.core.Stats().FarPulls
	}
	return float64(pulls) / 96
}

// Symptom: the links between regions carry most of a rollout, and are paid for.
// Sequence: a version is declared; each host asks whoever answers soonest. Cause:
// a host in another region costs hardly more time, so two chunks of three come
// from there.
func TestRegionTakesInOneCopy(t *testing.T) {
	anywhere, dear := crossRegionCopies(t, false), crossRegionCopies(t, true)
	if anywhere < 10 {
		t.Errorf("got %.1f far copies without the rule, want most of 24: else this shows nothing", anywhere)
	}
	// Two copies are needed; an eighth of one is left for a second host that asks while
	// the first is busy.
	if dear > 2.25 {
		t.Errorf("got %.2f far copies, want at most 2.25", dear)
	}
}

// Symptom: a chunk is in the other regions half a second after its draw, ten times as long as it
// is on its way. Sequence: the host that takes it into its region learns of it over several
// neighbours, asks, is asked to come back and comes back late. Cause: whoever holds few chunks
// went first, and as many waited as came.
func TestImporterGoesFirst(t *testing.T) {
	core := New(Config{Self: Peer{ID: "self", Region: "here"}, Version: "v", Chunks: 64, DearRegions: true})
	core.Observe(simStart, Peer{ID: "near", Region: "here"}, Report{Held: []uint64{0}})
	core.Observe(simStart, Peer{ID: "far", Region: "there"}, Report{Held: []uint64{1<<20 - 1}})
	if near, far := core.Turn("near"), core.Turn("far"); far >= near {
		t.Errorf("got turn %d of the importer and %d of a neighbour that holds nothing, want the importer first", far, near)
	}
	var full Uploads
	for range UploadSlots + UploadQueue {
		full.Admit(core.Turn("near"))
	}
	if ok, _ := full.Admit(core.Turn("near")); ok {
		t.Error("got a neighbour admitted where all places are taken, want it asked to come back")
	}
	if ok, _ := full.Admit(core.Turn("far")); !ok {
		t.Error("got the importer asked to come back, want it admitted")
	}
}

// The host that drew a chunk notifies the one of each other region that takes it in, and no other there.
func TestDrawIsReportedToImporters(t *testing.T) {
	core := New(Config{Self: Peer{ID: "self", Region: "r-0"}, Version: "v", Chunks: 64, DearRegions: true})
	var list []Peer
	for i := range 24 {
		list = append(list, Peer{ID: fmt.Sprint("host-", i), Region: fmt.Sprint("r-", i%3)})
	}
	core.SetPeers(simStart, list)
	notified := map[string]int{}
	core.notifyImporters(simStart, 7)
	for _, act := range core.actions {
		notified[core.peers[act.Source].peer.Region]++
		other := New(Config{Self: core.peers[act.Source].peer, Version: "v", Chunks: 64, DearRegions: true})
		other.SetPeers(simStart, append(list, core.cfg.Self))
		if rank := other.importRank(simStart, 7); rank != 0 {
			t.Errorf("got %s notified, which has rank %d, want rank 0", act.Source, rank)
		}
	}
	if notified["r-0"] != 0 || notified["r-1"] != 1 || notified["r-2"] != 1 {
		t.Errorf("got %v notified by region, want one of each other", notified)
	}
}

// Symptom: a region stays without a version. Sequence: the host whose turn it is
// to take in a chunk dies. Cause: only that host may, for ever.
func TestNextHostTakesInWhatTheFirstDoesNot(t *testing.T) {
	s := newSim(simConfig{hosts: 24, chunks: 32, copyWindow: 8 * time.Second, seed: 5, costlyRegions: true, limit: 40 * time.Second})
	s.schedule(time.Second, func() {
		for _, host := range s.hosts[3:6] {
			host.dead = true
		}
	})
	s.run()
	complete := 0
	for _, host := range s.hosts {
		if !host.dead && host.completeAt > 0 {
			complete++
		}
	}
	if got, want := complete, 21; got != want {
		t.Errorf("got %d living hosts whole, want %d", got, want)
	}
}

// Symptom: all hosts are whole at the same moment and go out of service at once.
// Sequence: a version is declared, all fetch alike. Cause: nobody yields.
func TestHostsThatPutOffFetchingAreWholeLater(t *testing.T) {
	s := newSim(simConfig{hosts: 24, chunks: 96, copyWindow: 12 * time.Second, seed: 3, costlyRegions: true})
	for i, host := range s.hosts {
		if i%2 == 1 {
			s.schedule(simStartSpread, func() { host.core.SetPullFrom(simStart.Add(5 * time.Second)) })
		}
	}
	s.run()
	var early, late time.Duration
	for i, host := range s.hosts {
		if i%2 == 1 {
			late += host.completeAt / 12
		} else {
			early += host.completeAt / 12
		}
	}
	if late-early < time.Second {
		t.Errorf("got whole after %v and %v in the mean, want the late ones a second later", early, late)
	}
}

// Symptom: a version that was named while another was on its way comes a second
// late. Sequence: hosts draw the older version; the newer one is named; what they
// asked the origin for goes on coming. Cause: a host that leaves a version kept
// its requests.
func TestAbandonedVersionTakesNothingMore(t *testing.T) {
	s := newSim(simConfig{hosts: 24, chunks: 96, copyWindow: 12 * time.Second, seed: 3, costlyRegions: true})
	abandoned := 0
	s.schedule(1500*time.Millisecond, func() {
		for _, host := range s.hosts {
			abandoned += len(host.core.requests)
			host.core.Abandon()
			host.core.SetPaused(true)
			s.decide(host)
		}
	})
	s.schedule(1600*time.Millisecond, func() {
		for _, host := range s.hosts {
			if got := len(host.core.requests) + len(host.incoming); got != 0 {
				t.Errorf("%s: got %d requests on their way, want none", host.peer.ID, got)
			}
		}
		s.cfg.limit = s.now
	})
	s.run()
	if abandoned == 0 {
		t.Error("nothing was on its way: this shows nothing")
	}
}

// Symptom: answers of an engine wait behind weights on its host's link. Sequence: the
// engine begins to serve while 8 chunks are on their way, which is the bound while it
// is idle. Cause guarded against: a bound that holds for the next version only. What
// is on its way goes on.
func TestHostThatServesAsksForLess(t *testing.T) {
	s := newSim(simConfig{hosts: 24, chunks: 96, copyWindow: 12 * time.Second, seed: 3, costlyRegions: true, fetches: 8})
	maximum := func() int {
		found := 0
		for _, host := range s.hosts {
			found = max(found, len(host.core.requests))
		}
		return found
	}
	before := 0
	s.schedule(1500*time.Millisecond, func() {
		before = maximum()
		for _, host := range s.hosts {
			host.core.SetMaxFetches(2)
			s.decide(host)
			if got := len(host.core.requests); got > before {
				t.Errorf("%s: got %d requests on their way, want no new ones beyond %d", host.peer.ID, got, before)
			}
		}
	})
	s.schedule(4*time.Second, func() {
		if got, bound := maximum(), 2+maxOriginFetches; got > bound {
			t.Errorf("got %d requests on their way, want at most %d", got, bound)
		}
	})
	s.run()
	if before <= 2+maxOriginFetches {
		t.Errorf("got %d on their way at most before: this shows nothing", before)
	}
	for _, host := range s.hosts {
		if host.completeAt == 0 {
			t.Errorf("%s: not whole", host.peer.ID)
		}
	}
}
