package spread

import (
	"fmt"
	"testing"
	"time"

	"google.golang.org/protobuf/proto"
	"pgregory.net/rapid"

	"comfreyrelay.example/relay/wire"
)

var start = time.Date(2026, 1, 7, 9, 0, 0, 0, time.UTC)

// entryNodes returns entries spread evenly over failure domains.
func entryNodes(count, domains int) []*wire.Node {
	nodes := make([]*wire.Node, count)
	for i := range nodes {
		nodes[i] = &wire.Node{
			Id: fmt.Sprintf("entry-%04d", i*7919%10007), Role: "entry",
			FailureDomain: fmt.Sprintf("d%d", i%domains), ControlAddress: "10.0.0.1:7000",
		}
	}
	return nodes
}

// TestNewsReachesEveryEntry checks that the graph of calls is connected. An entry receives
// updates from the neighbours it calls, so in a graph of two parts an update would reach one of
// them only with the slow read that serves as a fallback.
func TestNewsReachesEveryEntry(t *testing.T) {
	for _, count := range []int{1, 2, 9, 13, 40, 820} {
		nodes := entryNodes(count, min(count, 34))
		rounds, calls := flood(nodes)
		t.Logf("%d entries: %d rounds, at most %d calls from one", count, rounds, calls)
		if rounds < 0 {
			t.Errorf("got entries that updates never reach among %d, want none", count)
		}
		if calls > maxFullMesh {
			t.Errorf("got %d calls kept by one of %d entries, want at most %d", calls, count, maxFullMesh)
		}
	}
}

// flood returns the number of rounds until an update of the first node has reached all nodes,
// or -1 if it never does, and the largest number of calls kept by one node.
func flood(nodes []*wire.Node) (rounds, mostCalls int) {
	neighbours := map[string][]string{}
	for _, node := range nodes {
		for _, other := range Neighbours(node, nodes) {
			neighbours[node.GetId()] = append(neighbours[node.GetId()], other.GetId())
		}
		mostCalls = max(mostCalls, len(neighbours[node.GetId()]))
	}
	informed := map[string]bool{nodes[0].GetId(): true}
	for len(informed) < len(nodes) {
		var next []string
		for _, node := range nodes {
			for _, other := range neighbours[node.GetId()] {
				if informed[other] && !informed[node.GetId()] {
					next = append(next, node.GetId())
				}
			}
		}
		if len(next) == 0 {
			return -1, mostCalls
		}
		for _, id := range next {
			informed[id] = true
		}
		rounds++
	}
	return rounds, mostCalls
}

// TestNeighbourGraphIsConnected checks that the graph of calls is connected for any set of
// entries, however spread over failure domains.
func TestNeighbourGraphIsConnected(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		nodes := entryNodes(rapid.IntRange(1, 80).Draw(t, "entries"), rapid.IntRange(1, 12).Draw(t, "domains"))
		nodes = nodes[rapid.IntRange(0, len(nodes)-1).Draw(t, "gone"):]
		if rounds, _ := flood(nodes); rounds < 0 {
			t.Fatal("got entries that updates never reach, want none")
		}
	})
}

func report(id string, sequence uint64) *wire.HostReport {
	return &wire.HostReport{
		Node: &wire.Node{Id: id, Incarnation: "i1"}, Sequence: sequence, Slots: 8,
		Versions: []*wire.VersionState{{Model: "parcel", Version: "v1", State: "serving"}},
	}
}

func ids(reports []*wire.HostReport) string {
	out := ""
	for _, report := range reports {
		out += report.GetNode().GetId() + " "
	}
	return out
}

func TestDigestSendsNewsOnce(t *testing.T) {
	digest := NewDigest(10*time.Second, true)
	selectIDs := func(at time.Duration, reports ...*wire.HostReport) string {
		var candidates []Candidate
		for _, report := range reports {
			candidates = append(candidates, Candidate{Report: report, SeenAt: start, Home: true})
		}
		return ids(digest.Select(candidates, start.Add(at), 1<<20))
	}
	changed := report("a", 4)
	changed.Versions[0].State = "draining"
	busier := report("a", 5)
	busier.Versions[0].State = "draining"
	busier.Running = 1
	busy := report("a", 6)
	busy.Versions[0].State = "draining"
	busy.Running = 4
	lost := Copy(busy)
	lost.Lost = true
	for _, step := range []struct {
		name string
		got  string
		want string
	}{
		{"first", selectIDs(0, report("a", 1)), "a "},
		{"same again", selectIDs(time.Second, report("a", 1)), ""},
		{"nothing worth sending", selectIDs(2*time.Second, report("a", 2)), ""},
		{"refresh", selectIDs(11*time.Second, report("a", 3)), "a "},
		{"another state", selectIDs(12*time.Second, changed), "a "},
		{"a little busier", selectIDs(13*time.Second, busier), ""},
		{"much busier", selectIDs(14*time.Second, busy), "a "},
		{"lost, with the same sequence", selectIDs(15*time.Second, lost), "a "},
		{"an older one", selectIDs(60*time.Second, report("a", 2)), ""},
	} {
		if step.got != step.want {
			t.Errorf("%s: got %q sent, want %q", step.name, step.got, step.want)
		}
	}
}

func TestDigestStaysWithinByteLimit(t *testing.T) {
	digest := NewDigest(10*time.Second, true)
	var candidates []Candidate
	for i := range 50 {
		candidates = append(candidates, Candidate{
			Report: report(fmt.Sprintf("far-%02d", i), 1), SeenAt: start.Add(time.Duration(i) * time.Second), Nearness: Far,
		})
	}
	candidates = append(candidates,
		Candidate{Report: report("near", 1), SeenAt: start, Nearness: SameDomain},
		Candidate{Report: report("home", 1), SeenAt: start, Nearness: Far, Home: true})
	size := proto.Size(report("far-00", 1))
	first := digest.Select(candidates, start.Add(time.Minute), 4*size)
	if got, want := ids(first), "home near far-49 far-48 "; got != want {
		t.Errorf("got %q in the first message, want %q", got, want)
	}
	rest := 0
	for range 100 {
		chosen := digest.Select(candidates, start.Add(time.Minute), 4*size)
		if len(chosen) > 4 {
			t.Fatalf("got %d reports in one message, want at most 4", len(chosen))
		}
		rest += len(chosen)
	}
	if want := len(candidates) - len(first); rest != want {
		t.Errorf("got %d reports in later messages, want %d", rest, want)
	}
}

func TestWeightPeersAreBounded(t *testing.T) {
	agent := &wire.Node{Id: "agent-0", FailureDomain: "d0"}
	var hosts []Candidate
	for i := range 10000 {
		hosts = append(hosts, Candidate{Report: &wire.HostReport{Node: &wire.Node{Id: fmt.Sprintf("agent-%d", i), FailureDomain: fmt.Sprintf("d%d", i%34)}}})
	}
	chosen := WeightPeers(agent, hosts)
	domain := 0
	for _, host := range chosen {
		if host.Report.GetNode().GetFailureDomain() == "d0" {
			domain++
		}
		if host.Report.GetNode().GetId() == agent.GetId() {
			t.Errorf("got the agent itself among its peers")
		}
	}
	if want := 10000/34 + 1 - 1; domain != want {
		t.Errorf("got %d peers of the own failure domain, want all %d", domain, want)
	}
	if got, want := len(chosen)-domain, sampleSize; got > want || got < want-5 {
		t.Errorf("got %d far peers, want about %d", got, want)
	}
	if got, want := len(WeightPeers(agent, hosts[:200])), 199; got != want {
		t.Errorf("got %d peers in a small fleet, want all %d", got, want)
	}
}

func TestAllowanceLimitsRate(t *testing.T) {
	allowance := NewAllowance(100, 300, start)
	sent := 0
	for i := range 100 {
		now := start.Add(time.Duration(i) * 100 * time.Millisecond)
		left := allowance.Left(now)
		allowance.Spend(left)
		sent += left
	}
	if limit := 300 + 100*10; sent > limit || sent < limit-110 {
		t.Errorf("got %d bytes in 10 s, want about %d", sent, limit)
	}
	if got := allowance.Left(start.Add(-time.Hour)); got > 1 {
		t.Errorf("got %d bytes from a clock that jumped back, want none", got)
	}
}
