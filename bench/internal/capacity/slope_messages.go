package capacity

import (
	"time"

	"google.golang.org/protobuf/proto"

	"comfreyrelay.example/relay/peer"
	"comfreyrelay.example/relay/spread"
	"comfreyrelay.example/relay/view"
	"comfreyrelay.example/relay/wire"
)

// Cases of the benchmark of the messages that an entry sends.
const (
	caseEntrySelect         = "messageToEntryMicros/hosts"
	caseAgentSelect         = "messageToAgentMicros/hosts"
	caseEntryReportsToEntry = "entryReportBytesToEntry/entries"
	caseEntryReportsToAgent = "entryReportBytesToAgent/entries"
	caseEntriesReported     = "entriesToldOf50/customers"
)

// measureMessages prints the time to select the host reports for one message: to an
// entry, when 10 of n hosts have news, and to an agent.
func measureMessages(lines *printer) error {
	const news, room = 10, 3 << 10
	for _, n := range hostSizes {
		known, fresh := candidatesOf(n, 1), candidatesOf(n, 2)
		for i := range min(news, n) {
			fresh[i].Report.Leaving = true
		}
		digest := digestOfAll(n)
		lines.line(caseEntrySelect, n, microsPerCall(func() {
			for i := range min(news, n) {
				digest.Received(known[i].Report, startTime)
			}
			digest.Select(fresh, startTime.Add(time.Second), room)
		}), "microseconds")
		agent := node("agent", 1)
		lines.line(caseAgentSelect, n, microsPerCall(func() { selectForAgent(agent, fresh, digest) }), "microseconds")
	}
	return nil
}

// selectForAgent selects host reports as an entry does for each call of an agent.
func selectForAgent(agent *wire.Node, candidates []spread.Candidate, digest *spread.Digest) {
	peers := spread.WeightPeers(agent, candidates)
	for i := range peers {
		peers[i].Home = false
		peers[i].Nearness = spread.Nearness(agent, peers[i].Report.GetNode())
	}
	digest.Select(peers, startTime.Add(time.Second), 0)
}

// measureEntryReports prints the bytes per second of entry reports sent to one
// neighbour and to one agent, when each entry reports the demand of 10 customers
// every 2 s. It also prints how many of 50 entries a neighbour learns of as the
// number of reported customers grows.
func measureEntryReports(lines *printer) error {
	const usualCustomers, usualEntries = 10, 50
	for _, n := range []int{9, 50, 200, fullEntries} {
		toEntry := simulateEntryReports(n, usualCustomers, node("entry", 0), 2*time.Second)
		lines.line(caseEntryReportsToEntry, n, toEntry.bytesPerSecond, "bytes a second")
		toAgent := simulateEntryReports(n, usualCustomers, node("agent", 0), time.Second)
		lines.line(caseEntryReportsToAgent, n, toAgent.bytesPerSecond, "bytes a second")
	}
	for _, customers := range []int{10, 100, 110, 1_000} {
		news := simulateEntryReports(usualEntries, customers, node("entry", 0), 2*time.Second)
		lines.line(caseEntriesReported, customers, float64(news.entries), "entries")
	}
	return nil
}

// entryReportStats summarizes the entry reports that one receiver got.
type entryReportStats struct {
	bytesPerSecond float64
	entries        int // other than the sender
}

// simulateEntryReports simulates two minutes of messages from an entry to the
// receiver. It counts the bytes of the second minute only, and the entries reported
// in both.
func simulateEntryReports(entries, customers int, receiver *wire.Node, interval time.Duration) entryReportStats {
	const (
		toEntries, toAgents = 15 * time.Second, 30 * time.Second // relay ages
		perEntry            = 75 * time.Millisecond              // relay age for each entry
		room                = 4 << 10                            // largest size of a message, in bytes
		beat, length        = 2 * time.Second, time.Minute
	)
	digest := spread.NewEntryDigest(max(toEntries, time.Duration(entries)*perEntry))
	choose := digest.Select
	if receiver.GetRole() == peer.RoleAgent {
		digest = spread.NewEntryDigest(toAgents)
		choose = digest.SelectPresence
	}
	sent := 0
	reported := map[string]bool{}
	for at := time.Duration(0); at < 2*length; at += interval {
		own := entryReport(1, uint64(at/beat), customers)
		others := make([]view.Peer, 0, entries)
		for i := range entries {
			others = append(others, view.NewPeer(entryReport(i, uint64(at/beat), customers), startTime.Add(at.Truncate(beat)), false, false))
		}
		for _, report := range choose(own, others, receiver.GetId(), startTime.Add(at), room) {
			if id := report.GetNode().GetId(); id != own.GetNode().GetId() {
				reported[id] = true
			}
			if at >= length {
				sent += proto.Size(report)
			}
		}
	}
	return entryReportStats{bytesPerSecond: float64(sent) / length.Seconds(), entries: len(reported)}
}
