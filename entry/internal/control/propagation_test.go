package control

import (
	"fmt"
	"testing"
	"time"

	"comfreyrelay.example/relay/wire"
)

// hostReport returns the report of a host in an entry's view.
func hostReport(m *member, id string) (*wire.HostReport, bool) {
	snap, _ := m.view.Load()
	host, known := findHost(snap, id)
	return host.Report(), known
}

// A restarted entry must request whole reports. Otherwise hosts keep sending
// partial reports on top of reports that the entry lost, and it routes no
// requests or routes them without the hosts' states.
func TestRestartedEntryAsksForWholeReports(t *testing.T) {
	runFleet(t, 13, 9, 50, func(f *fleet) {
		f.set(func(f *fleet) { f.busy = true })
		time.Sleep(time.Minute)
		for i := range 3 {
			id := fmt.Sprintf("entry-%02d", i)
			f.kill(id)
			m := f.startEntry(id, regionOf(i))
			time.Sleep(15 * time.Second)
			for host := range f.agents {
				report, known := hostReport(m, host)
				if !known || len(report.GetVersions()) != 1 || report.GetNode().GetControlAddress() == "" || report.GetSlots() == 0 {
					t.Errorf("got %v of %s (known %t) on the restarted %s, want the whole report", report, host, known, id)
				}
			}
		}
	})
}

// A leaving host among 200 busy hosts must be known to all entries within 3 s.
// It would get new work if its report were queued behind load reports.
func TestLeavingHostReachesAllEntries(t *testing.T) {
	runFleet(t, 14, 9, 200, func(f *fleet) {
		f.set(func(f *fleet) { f.busy = true })
		time.Sleep(time.Minute)
		longest := time.Duration(0)
		for i := range 10 {
			id := fmt.Sprintf("agent-%03d", 20*i)
			f.set(func(f *fleet) { f.agents[id].leaving.Store(true) })
			began := time.Now()
			for !f.allKnowLeaving(id) && time.Since(began) < time.Minute {
				time.Sleep(10 * time.Millisecond)
			}
			longest = max(longest, time.Since(began))
		}
		t.Logf("a leaving host is known to all entries after at most %v", longest)
		if longest > 3*time.Second {
			t.Errorf("got %v until all entries know, want at most 3s", longest)
		}
	})
}

// allKnowLeaving reports whether the views of all entries show the host as leaving.
func (f *fleet) allKnowLeaving(id string) bool {
	f.mu.Lock()
	members := f.members()
	f.mu.Unlock()
	for _, m := range members {
		if report, known := hostReport(m, id); !known || !report.GetLeaving() {
			return false
		}
	}
	return true
}

// When one of 200 busy hosts dies, all entries must treat it as lost within 10 s.
// Entries that it does not report to would keep sending it work if the report of
// the loss were delayed, or hidden by a partial report.
func TestLostHostReachesAllEntries(t *testing.T) {
	runFleet(t, 15, 9, 200, func(f *fleet) {
		f.set(func(f *fleet) { f.busy = true })
		time.Sleep(time.Minute)
		f.agents["agent-100"].stop()
		began := time.Now()
		for time.Since(began) < time.Minute && !f.allLost("agent-100") {
			time.Sleep(10 * time.Millisecond)
		}
		took := time.Since(began)
		t.Logf("a dead host is lost on all entries after %v", took)
		if took > 10*time.Second {
			t.Errorf("got %v until all entries show the host as lost, want at most 10s", took)
		}
	})
}

// allLost reports whether the views of all entries show the host as lost.
func (f *fleet) allLost(id string) bool {
	f.mu.Lock()
	members := f.members()
	f.mu.Unlock()
	for _, m := range members {
		snap, _ := m.view.Load()
		if host, known := findHost(snap, id); !known || !host.Lost() {
			return false
		}
	}
	return true
}
