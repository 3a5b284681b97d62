package capacity

import (
	"fmt"
	"time"

	"google.golang.org/protobuf/proto"

	"comfreyrelay.example/relay/burst"
	"comfreyrelay.example/relay/wire"
)

// Cases of the burst benchmark, the distribution of a version to many hosts.
const (
	caseHaveBytes   = "haveBytes/chunks"
	casePeersMicros = "burstPeersMicros/hosts"
	caseCoreBytes   = "burstCoreBytes/hosts"
)

// measureBurst prints the bytes of one exchange of chunk bitmaps, the time that a
// host needs to apply a changed peer list, and the memory of its burst core.
func measureBurst(lines *printer) error {
	for _, chunks := range []int{64, 1_024, assumedChunks} {
		words := make([]uint64, (chunks+63)/64)
		request := &wire.HaveRequest{From: node("agent", 1), Version: measuredVersion, Chunks: words, Fetching: words, Drawn: words}
		reply := &wire.HaveReply{Chunks: words, Fetching: words, Drawn: words}
		lines.line(caseHaveBytes, chunks, float64(proto.Size(request)+proto.Size(reply)), "bytes")
	}
	for _, n := range []int{18, 200, fullBurstHosts, 10_000} {
		even, odd := burstPeers(n), burstPeers(n)[1:]
		core := newCore(even)
		step := 0
		lines.line(casePeersMicros, n, microsPerCall(func() {
			list := even
			if step++; step%2 == 0 {
				list = odd
			}
			now := startTime.Add(time.Duration(step) * time.Second)
			core.SetPeers(now, list)
			core.Decide(now)
		}), "microseconds")
		lines.line(caseCoreBytes, n, heapBytes(func() *burst.Core { return newCore(burstPeers(n)) }), "bytes")
	}
	return nil
}

func newCore(peers []burst.Peer) *burst.Core {
	core := burst.New(burst.Config{Self: peers[0], Version: measuredVersion, Chunks: assumedChunks, OriginCopies: 4})
	core.SetPeers(startTime, peers)
	core.Decide(startTime)
	return core
}

func burstPeers(n int) []burst.Peer {
	peers := make([]burst.Peer, n)
	for i := range peers {
		host := node("agent", i)
		peers[i] = burst.Peer{ID: fmt.Sprint(host.GetId()), Region: host.GetRegion(), FailureDomain: host.GetFailureDomain()}
	}
	return peers
}
