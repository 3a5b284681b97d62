package control

import (
	"fmt"
	"testing"
	"time"

	"comfreyrelay.example/relay/wire"
)

// hostAt returns what an entry holds of a host.
func hostReport(m *member, id string) (*wire.HostReport, bool) {
	snap, _ := m.view.Load()
	host, known := findHost(snap, id)
	return host.Report(), known
}

// Symptom: after an entry's restart it routes to nobody, or without the hosts'
// states. Sequence: hosts send amendments, the entry loses its memory, the
// amendments go on. Cause: nobody sends the whole report again.
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

// Symptom: a host that leaves gets new work. Sequence: 200 busy hosts, of which
// one says that it leaves. Cause: its report waits behind reports of load.
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
		t.Logf("a leaving host is known on all entries after at most %v", longest)
		if longest > 3*time.Second {
			t.Errorf("got %v until all entries know, want at most 3s", longest)
		}
	})
}

// allKnow reports whether all entries know that the host leaves.
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

// Symptom: a host that died keeps getting work from entries that it does not
// report to. Sequence: 200 busy hosts, one dies. Cause: the report that it is lost
// waits, or an amendment hides it.
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
			t.Errorf("got %v until all entries take the host for lost, want at most 10s", took)
		}
	})
}

// allLost reports whether all entries take the host for lost.
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
