package route

import (
	"fmt"
	"testing"
	"time"
)

// simCapacity is the throughput of a simulated host with cold prefixes, in requests
// per second.
const simCapacity = simSlots * float64(time.Second) / float64(simPrefill+simTokens*simGap)

func TestAffinityAgainstLeastInFlight(t *testing.T) {
	measure := func(policy Policy) (hits float64, p95 time.Duration) {
		s := newSim(policy, 14, 9)
		s.run(0.7*14*simCapacity, 20*time.Second)
		return s.hitRatio(), s.firstTokenQuantile(0.95)
	}
	hits, p95 := measure(Affinity)
	baseHits, baseP95 := measure(LeastInFlight)
	t.Logf("hit ratio %.3f, baseline %.3f; p95 %v, baseline %v", hits, baseHits, p95, baseP95)
	if hits < 1.5*baseHits {
		t.Errorf("got hit ratio %.3f, want at least 1.5 times %.3f", hits, baseHits)
	}
	if p95 > baseP95 {
		t.Errorf("got p95 %v, want at most %v", p95, baseP95)
	}
}

// Entries do not see each other's choices. If all hosts look equally idle in reports
// that are seconds old, all entries may send a burst to the same host.
func TestStaleReportDoesNotOverloadOneHost(t *testing.T) {
	s := newSim(Affinity, 14, 9)
	most := 0
	for range 56 { // half of the slots
		s.request()
	}
	for _, host := range s.hosts {
		most = max(most, host.running)
	}
	if most > simSlots+1 {
		t.Errorf("got %d requests on one host, want at most %d", most, simSlots+1)
	}
}

// A host that answers at a tenth of the normal speed but reports itself healthy made
// a tenth of the requests ten times as slow.
func TestSlowHostIsEjected(t *testing.T) {
	s := newSim(Affinity, 14, 9)
	s.hosts[3].gap = 10 * simGap
	s.run(0.6*14*simCapacity, 5*time.Second)
	before := s.hosts[3].picked
	arrived := s.arrived
	s.run(0.6*14*simCapacity, 15*time.Second)
	fraction := float64(s.hosts[3].picked-before) / float64(s.arrived-arrived)
	t.Logf("slow host got %.4f of the requests", fraction)
	if fraction > 0.01 {
		t.Errorf("got %.4f of the requests on the slow host, want at most 0.01", fraction)
	}
}

// A host that fails every request immediately has nothing in progress and looks idle.
// It attracted most requests, which then failed.
func TestFastFailingHostIsEjected(t *testing.T) {
	s := newSim(Affinity, 14, 9)
	s.hosts[3].failing = true
	s.run(0.6*14*simCapacity, 20*time.Second)
	fraction := float64(s.hosts[3].picked) / float64(s.arrived)
	t.Logf("failing host got %.4f of the requests", fraction)
	if fraction > 0.03 {
		t.Errorf("got %.4f of the requests on the failing host, want at most 0.03", fraction)
	}
}

// A new replica has nothing in progress, so every entry finds it cheapest and
// floods it with requests.
func TestNewReplicaRampsUp(t *testing.T) {
	s := newSim(Affinity, 13, 9)
	s.run(0.8*13*simCapacity, 5*time.Second)
	fresh := &simHost{id: "h99", gap: simGap}
	s.hosts = append(s.hosts, fresh)
	s.report()
	s.run(0.8*13*simCapacity, 2*time.Second)
	early := fresh.picked
	s.run(0.8*13*simCapacity, 20*time.Second)
	if most := 2 * simCapacity; float64(early) > most {
		t.Errorf("got %d requests on the new replica in its first 2 s, want at most %.0f", early, most)
	}
	if late := fresh.picked - early; float64(late) < 0.4*20*simCapacity {
		t.Errorf("got %d requests on the new replica later, want a fair share", late)
	}
}

// If a host restarts during an attempt, the attempt's end must not change the count
// of the new process, which starts at zero.
func TestRestartedHostHasNoInFlightAttempts(t *testing.T) {
	table := NewTable(Options{})
	before := Host{ID: "h", Incarnation: "1", Version: "v", Slots: 1, Sequence: 9}
	table.Update(simStart, []Host{before}, 1)
	needs := Requirements{Versions: []string{"v"}}
	old, reason := table.Pick(simStart, needs)
	if reason != Chosen {
		t.Fatalf("got reason %d, want a host", reason)
	}
	after := before
	after.Incarnation, after.Sequence = "2", 1
	table.Update(simStart, []Host{after}, 1)
	fresh, reason := table.Pick(simStart, needs)
	if reason != Chosen || fresh.Host.Incarnation != "2" {
		t.Fatalf("got reason %d incarnation %q, want the new process", reason, fresh.Host.Incarnation)
	}
	table.Finish(simStart, old, Result{End: EndFailed})
	if got := table.InFlight("h"); got != 1 {
		t.Errorf("got %d in flight, want 1", got)
	}
}

// Hosts were overloaded although every report contained their load: attempts that
// this entry started between the making of a report and its arrival are not in the
// report, and were not added to it.
func TestLoadIncludesAttemptsStartedAfterReport(t *testing.T) {
	table := NewTable(Options{})
	report := Host{ID: "h", Incarnation: "1", Version: "v", Slots: 8, Sequence: 1, SeenAt: simStart}
	table.Update(simStart, []Host{report}, 1)
	needs := Requirements{Versions: []string{"v"}}
	for second := 1; second <= 4; second++ {
		if _, reason := table.Pick(simStart.Add(time.Duration(second)*time.Second), needs); reason != Chosen {
			t.Fatalf("got reason %d, want a host", reason)
		}
	}
	report.Sequence, report.Running, report.SeenAt = 2, 5, simStart.Add(2*time.Second)
	table.Update(simStart.Add(5*time.Second), []Host{report}, 1)
	if got, want := table.hosts[0].load(), 7; got != want {
		t.Errorf("got load %d, want %d: the 5 reported and the 2 started since", got, want)
	}
}

// Small customers found every host full: one large customer had requests waiting at
// nine entries, and each entry filled the free slots shown by the same report.
func TestLargeCustomerLeavesReservedSlots(t *testing.T) {
	const entries = 9
	placed := 0
	var tables []*Table
	for i := range entries {
		table := NewTable(Options{Seed: uint64(i + 1)})
		table.Update(simStart, []Host{{ID: "h", Incarnation: "1", Version: "v", Slots: 64, Sequence: 1, SeenAt: simStart}}, entries)
		tables = append(tables, table)
	}
	for range 100 {
		for _, table := range tables {
			if _, reason := table.Pick(simStart, Requirements{Versions: []string{"v"}, Large: true}); reason == Chosen {
				placed++
			}
		}
	}
	if placed < 40 || placed > 64 {
		t.Errorf("got %d requests placed on a report of 64 free slots, want about 48", placed)
	}
	if _, reason := tables[0].Pick(simStart, Requirements{Versions: []string{"v"}}); reason != Chosen {
		t.Errorf("got reason %d for a small customer, want a host", reason)
	}
}

func TestPickFiltersByVersionAndAdapter(t *testing.T) {
	hosts := []Host{
		{ID: "a", Incarnation: "1", Version: "v1"},
		{ID: "b", Incarnation: "1", Version: "v2", Adapters: []Adapter{{"customs", "c2"}}},
	}
	cases := []struct {
		name  string
		needs Requirements
		want  string
	}{
		{"by version", Requirements{Versions: []string{"v1"}}, "a"},
		{"by adapter", Requirements{Versions: []string{"v1", "v2"}, Adapter: "customs"}, "b"},
		{"by adapter version", Requirements{Versions: []string{"v2"}, Adapter: "customs", AdapterVersion: "c1"}, ""},
		{"version not served", Requirements{Versions: []string{"v3"}}, ""},
		{"excluded host is skipped", Requirements{Versions: []string{"v1", "v2"}, Exclude: []string{"a"}}, "b"},
		{"excluded host is used if no other serves", Requirements{Versions: []string{"v1"}, Exclude: []string{"a"}}, "a"},
	}
	for _, policy := range []Policy{Affinity, Random, RoundRobin, LeastInFlight} {
		for _, test := range cases {
			t.Run(string(policy)+"/"+test.name, func(t *testing.T) {
				table := NewTable(Options{Policy: policy, Seed: 1})
				table.Update(simStart, hosts, 1)
				choice, reason := table.Pick(simStart, test.needs)
				if got := choice.Host.ID; got != test.want || (reason == Chosen) != (test.want != "") {
					t.Errorf("got host %q reason %d, want %q", got, reason, test.want)
				}
			})
		}
	}
}

func TestShift(t *testing.T) {
	serving := func(versions ...string) map[string]string {
		hosts := make(map[string]string)
		for i, version := range versions {
			hosts[string(rune('a'+i))] = version
		}
		return hosts
	}
	cases := []struct {
		name     string
		rollouts []Rollout
		want     []string // after the last
	}{
		{"first version", []Rollout{{Target: "v1"}}, []string{"v1"}},
		{"during the rollout", []Rollout{{Target: "v1", Complete: true}, {Target: "v2", Serving: serving("v1", "v2")}}, []string{"v2", "v1"}},
		{"whole", []Rollout{{Target: "v1", Complete: true}, {Target: "v2", Complete: true}}, []string{"v2"}},
		{"complete once, then a host lost", []Rollout{{Target: "v2", Complete: true}, {Target: "v2"}}, []string{"v2"}},
		{"wait for all replicas", []Rollout{{Target: "v1", Complete: true}, {Target: "v2", WaitForAllReplicas: true, Serving: serving("v1", "v2")}}, []string{"v1"}},
		{"wait for all replicas, old version no longer served", []Rollout{{Target: "v1", Complete: true}, {Target: "v2", WaitForAllReplicas: true, Serving: serving("v2")}}, []string{"v2", "v1"}},
		{"target changed during the rollout", []Rollout{{Target: "v1", Complete: true}, {Target: "v2"}, {Target: "v3"}}, []string{"v3", "v2", "v1"}},
		{"process started during the rollout", []Rollout{{Target: "v2", Serving: serving("v1", "v1", "v0", "v2")}}, []string{"v2", "v1"}},
	}
	for _, test := range cases {
		t.Run(test.name, func(t *testing.T) {
			shift := NewShift()
			var got []string
			for _, rollout := range test.rollouts {
				got = shift.Allowed(rollout)
			}
			if len(got) != len(test.want) {
				t.Fatalf("got %q, want %q", got, test.want)
			}
			for i := range got {
				if got[i] != test.want[i] {
					t.Fatalf("got %q, want %q", got, test.want)
				}
			}
		})
	}
}

func BenchmarkPick(b *testing.B) {
	for _, count := range []int{14, 1000} {
		b.Run(fmt.Sprintf("hosts=%d", count), func(b *testing.B) {
			s := newSim(Affinity, count, 1)
			table := s.entries[0]
			b.ReportAllocs()
			prefix := uint64(0)
			for b.Loop() {
				prefix++
				choice, reason := table.Pick(simStart, Requirements{Prefix: prefix % 500, Tokens: 16, Versions: []string{"v"}})
				if reason == Chosen {
					table.Finish(simStart, choice, Result{End: EndAnswered})
				}
			}
		})
	}
}
