package capacity

import (
	"time"

	"google.golang.org/protobuf/proto"

	"comfreyrelay.example/relay/spread"
)

// caseLeavingWait is the delay until neighbours learn that a host of another region
// is leaving.
const caseLeavingWait = "leavingFarHostSeconds/hosts"

const (
	// simulationHalf is the simulated time before and after a host leaves, and
	// messageInterval the interval between messages to the same neighbour.
	simulationHalf  = 150 * time.Second
	messageInterval = 5 * time.Second
	// minRefresh and refreshPerHost are the age at which an unchanged report
	// is sent again, and reportBurst the most unused bytes that the send
	// allowance accumulates. They are copied from entry/internal/control.
	minRefresh     = 10 * time.Second
	refreshPerHost = 100 * time.Millisecond
	reportBurst    = 64 << 10
)

// measureSpread prints how long an entry of a large deployment takes to notify half
// of its neighbours that a host of another region, whose home is another entry, is
// leaving. The simulation stops simulationHalf after the host leaves.
func measureSpread(lines *printer) error {
	for _, n := range hostSizes {
		lines.line(caseLeavingWait, n, leavingWait(n).Seconds(), "seconds")
	}
	return nil
}

// leavingWait simulates an entry that relays the continuous reports of n hosts to 16
// neighbours within its send allowance. It returns the time from the moment a host
// leaves until half of the neighbours know.
func leavingWait(n int) time.Duration {
	candidates := candidatesOf(n, 1)
	refresh := max(minRefresh, time.Duration(n)*refreshPerHost)
	sessions := make([]*spread.Digest, int(neighbours))
	for i := range sessions {
		sessions[i] = spread.NewDigest(refresh, true)
		for h, candidate := range candidates {
			sessions[i].Received(candidate.Report, startTime.Add(-refresh*time.Duration(h)/time.Duration(n)))
		}
	}
	allowance := spread.NewAllowance(hostReportRate, reportBurst, startTime)
	leavingHost := farHostIndex(candidates)
	reported := 0 // neighbours that know that the host leaves
	turn := 0     // rotates which neighbour is notified first, since calls arrive in no fixed order
	for at := time.Duration(0); at < 2*simulationHalf; at += messageInterval {
		now := startTime.Add(at)
		for i := range candidates {
			candidates[i].Report.Sequence++
			candidates[i].SeenAt = now
		}
		candidates[leavingHost].Report.Leaving = at >= simulationHalf
		for i := range sessions {
			session := sessions[(i+turn)%len(sessions)]
			for _, report := range session.Select(candidates, now, allowance.Left(now)) {
				allowance.Spend(proto.Size(report))
				if report.GetLeaving() {
					reported++
				}
			}
		}
		turn++
		if reported >= len(sessions)/2 {
			return at - simulationHalf
		}
	}
	return simulationHalf
}

// farHostIndex returns the index of a host of another region whose home is another
// entry, or the last index if there is none.
func farHostIndex(candidates []spread.Candidate) int {
	for i, candidate := range candidates {
		if candidate.Nearness == spread.Far && !candidate.Home {
			return i
		}
	}
	return len(candidates) - 1
}
