package capacity

import (
	"time"

	"google.golang.org/protobuf/proto"

	"comfreyrelay.example/relay/spread"
)

// caseLeavingWait is how long news of a far host waits.
const caseLeavingWait = "leavingFarHostSeconds/hosts"

const (
	// spreadHalf is how long one entry's messages are followed before and after
	// a host leaves, spreadStep the time between two to one neighbour.
	spreadHalf = 150 * time.Second
	spreadStep = 5 * time.Second
	// refreshLeast and refreshPerHost are the age at which an unchanged report
	// is sent again, and reportBurst the bytes that may gather: as they stand in
	// entry/internal/control.
	refreshLeast   = 10 * time.Second
	refreshPerHost = 100 * time.Millisecond
	reportBurst    = 64 << 10
)

// measureSpread prints how long the news that a host of another region leaves
// takes from one entry of a large deployment, which is not the host's home, to half
// of its neighbours. It is followed for spreadHalf at most.
func measureSpread(lines *printer) error {
	for _, n := range hostSizes {
		lines.line(caseLeavingWait, n, leavingWait(n).Seconds(), "seconds")
	}
	return nil
}

// leavingWait lets an entry notify 16 neighbours of n hosts that report all the
// time, within its allowance.
func leavingWait(n int) time.Duration {
	candidates := candidatesOf(n, 1)
	refresh := max(refreshLeast, time.Duration(n)*refreshPerHost)
	sessions := make([]*spread.Digest, int(neighbours))
	for i := range sessions {
		sessions[i] = spread.NewDigest(refresh, true)
		for h, candidate := range candidates {
			sessions[i].Received(candidate.Report, epoch.Add(-refresh*time.Duration(h)/time.Duration(n)))
		}
	}
	allowance := spread.NewAllowance(hostReportRate, reportBurst, epoch)
	leaver := farthest(candidates)
	reported := 0 // neighbours, of the leaving
	turn := 0     // who is notified first: calls come in no order
	for at := time.Duration(0); at < 2*spreadHalf; at += spreadStep {
		now := epoch.Add(at)
		for i := range candidates {
			candidates[i].Report.Sequence++
			candidates[i].SeenAt = now
		}
		candidates[leaver].Report.Leaving = at >= spreadHalf
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
			return at - spreadHalf
		}
	}
	return spreadHalf
}

// farthest returns a host of another region; the last where there is none.
func farthest(candidates []spread.Candidate) int {
	for i, candidate := range candidates {
		if candidate.Nearness == spread.Far && !candidate.Home {
			return i
		}
	}
	return len(candidates) - 1
}
