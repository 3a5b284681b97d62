package burst

import (
	"fmt"
	"testing"
	"time"
)

// crossRegionCopies runs a fleet of 24 hosts in three regions and returns how many copies of the
// version hosts fetched from other regions.
func crossRegionCopies(t *testing.T, costlyRegions bool) float64 {
	t.Helper()
	s := newSim(simConfig{hosts: 24, chunks: 96, copyWindow: 12 * time.Second, seed: 3, costlyRegions: costlyRegions})
	s.run()
	if got := s.result(); got.complete != 24 {
		t.Fatalf("got %v, want 24 hosts complete", got)
	}
	pulls := 0
	for _, host := range s.hosts {
		pulls += host.core.Stats().CrossRegionPulls
	}
	return float64(pulls) / 96
}

// Guards against links between regions, which cost money, carrying most of a rollout. Hosts
// request chunks from the source expected to answer soonest, and a host in another region takes
// hardly more time, so two of three chunks came from other regions.
func TestRegionImportsOneCopy(t *testing.T) {
	anywhere, costlyRegions := crossRegionCopies(t, false), crossRegionCopies(t, true)
	if anywhere < 10 {
		t.Errorf("got %.1f copies across regions without LimitCrossRegionTraffic, want at least 10 for a meaningful comparison", anywhere)
	}
	// Two copies are needed; an eighth of a copy is allowed for a second host that fetches while
	// the first is busy.
	if costlyRegions > 2.25 {
		t.Errorf("got %.2f copies across regions with LimitCrossRegionTraffic, want at most 2.25", costlyRegions)
	}
}

// Guards against chunks reaching the other regions half a second after their origin fetch, ten
// times the transfer time. The importer learned of the chunk through several neighbours, was asked
// to retry later and retried late, because peers with the fewest chunks were served first and the
// queue admitted no more than for any peer.
func TestImporterHasPriority(t *testing.T) {
	core := New(Config{Self: Peer{ID: "self", Region: "here"}, Version: "v", Chunks: 64, LimitCrossRegionTraffic: true})
	core.Observe(simStart, Peer{ID: "near", Region: "here"}, Report{Held: []uint64{0}})
	core.Observe(simStart, Peer{ID: "far", Region: "there"}, Report{Held: []uint64{1<<20 - 1}})
	if near, far := core.UploadPriority("near"), core.UploadPriority("far"); far >= near {
		t.Errorf("got UploadPriority %d for the importer and %d for a neighbour that holds no chunks, want the importer first", far, near)
	}
	var full Uploads
	for range UploadSlots + UploadQueue {
		full.Admit(core.UploadPriority("near"))
	}
	if ok, _ := full.Admit(core.UploadPriority("near")); ok {
		t.Error("a neighbour was admitted to a full queue, want it refused")
	}
	if ok, _ := full.Admit(core.UploadPriority("far")); !ok {
		t.Error("the importer was refused, want it admitted")
	}
}

// Checks that a host that fetched a chunk from the origin notifies the importer in each other
// region, and no other host there.
func TestOriginFetchNotifiesImporters(t *testing.T) {
	core := New(Config{Self: Peer{ID: "self", Region: "r-0"}, Version: "v", Chunks: 64, LimitCrossRegionTraffic: true})
	var list []Peer
	for i := range 24 {
		list = append(list, Peer{ID: fmt.Sprint("host-", i), Region: fmt.Sprint("r-", i%3)})
	}
	core.SetPeers(simStart, list)
	notified := map[string]int{}
	core.notifyImporters(simStart, 7)
	for _, act := range core.actions {
		notified[core.peers[act.Source].peer.Region]++
		other := New(Config{Self: core.peers[act.Source].peer, Version: "v", Chunks: 64, LimitCrossRegionTraffic: true})
		other.SetPeers(simStart, append(list, core.cfg.Self))
		if rank := other.importRank(simStart, 7); rank != 0 {
			t.Errorf("%s was notified and has import rank %d, want 0", act.Source, rank)
		}
	}
	if notified["r-0"] != 0 || notified["r-1"] != 1 || notified["r-2"] != 1 {
		t.Errorf("got notified hosts by region %v, want one in each other region", notified)
	}
}

// Guards against a region never receiving a version after the host that should import a chunk
// died, because no other host was allowed to import it.
func TestNextHostImportsWhenFirstDies(t *testing.T) {
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
		t.Errorf("got %d live hosts complete, want %d", got, want)
	}
}

// Guards against all hosts completing a version, and thus going out of service, at the same
// moment, because all fetch alike and none postpones its fetches.
func TestPostponedFetchesCompleteLater(t *testing.T) {
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
		t.Errorf("hosts complete after %v and, with postponed fetches, %v on average, want a difference of at least a second", early, late)
	}
}

// Guards against a version arriving a second late when it is announced during the transfer of an
// older one: hosts that abandoned the older version kept their requests to the origin, which went
// on sending.
func TestAbandonCancelsRequests(t *testing.T) {
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
				t.Errorf("%s: got %d requests in progress, want none", host.peer.ID, got)
			}
		}
		s.cfg.limit = s.now
	})
	s.run()
	if abandoned == 0 {
		t.Error("no requests were in progress to abandon")
	}
}

// Guards against responses of an engine queueing behind weights on its host's link when the engine
// begins to serve during a transfer, because a lowered MaxFetches applies only to the next
// version. An idle engine's host has up to 8 requests in progress, and these continue.
func TestSetMaxFetchesLowersRequests(t *testing.T) {
	s := newSim(simConfig{hosts: 24, chunks: 96, copyWindow: 12 * time.Second, seed: 3, costlyRegions: true, maxFetches: 8})
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
				t.Errorf("%s: got %d requests in progress, want no new ones beyond %d", host.peer.ID, got, before)
			}
		}
	})
	s.schedule(4*time.Second, func() {
		if got, bound := maximum(), 2+maxOriginFetches; got > bound {
			t.Errorf("got %d requests in progress, want at most %d", got, bound)
		}
	})
	s.run()
	if before <= 2+maxOriginFetches {
		t.Errorf("got at most %d requests in progress before, want more than the lowered bound", before)
	}
	for _, host := range s.hosts {
		if host.completeAt == 0 {
			t.Errorf("%s: not complete", host.peer.ID)
		}
	}
}
