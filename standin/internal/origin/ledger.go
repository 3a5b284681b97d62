package origin

import (
	"maps"
	"net"
	"net/http"
	"sync"
)

// maxNames limits how many callers and peers the ledger lists separately.
const maxNames = 10000

// VersionLine counts the bytes sent of one version's chunks. A chunk that two
// versions share counts for both.
type VersionLine struct {
	Version string  `json:"version"`
	Bytes   int64   `json:"bytes"`
	Size    uint64  `json:"size"`
	Copies  float64 `json:"copies"` // Bytes / Size
}

// Ledger is the body of GET /ledger. Bytes counts the bytes of chunks, including
// incomplete transfers.
type Ledger struct {
	Bytes         int64            `json:"bytes"`
	ManifestBytes int64            `json:"manifestBytes"`
	Versions      []VersionLine    `json:"versions"`
	Chunks        map[string]int64 `json:"chunks"`  // bytes by hash
	Peers         map[string]int64 `json:"peers"`   // bytes by IP address
	Callers       map[string]int64 `json:"callers"` // bytes by User-Agent
	Requests      int64            `json:"requests"`
	Refused       int64            `json:"refused"`
	Corrupted     int64            `json:"corrupted"`
	CutOff        int64            `json:"cutOff"` // transfers that ended before they were complete
}

// transferRecorder collects the figures of the Ledger.
type transferRecorder struct {
	mu     sync.Mutex
	totals Ledger // without Versions, which report computes
}

func newTransferRecorder() *transferRecorder {
	b := &transferRecorder{}
	b.reset()
	return b
}

func (b *transferRecorder) reset() {
	b.mu.Lock()
	defer b.mu.Unlock()
	b.totals = Ledger{Chunks: map[string]int64{}, Peers: map[string]int64{}, Callers: map[string]int64{}}
}

// update changes the totals while holding the lock.
func (b *transferRecorder) update(change func(totals *Ledger)) {
	b.mu.Lock()
	defer b.mu.Unlock()
	change(&b.totals)
}

func (b *transferRecorder) recordTransfer(r *http.Request, hash string, bytes int64, whole bool) {
	peer, _, _ := net.SplitHostPort(r.RemoteAddr)
	b.update(func(totals *Ledger) {
		totals.Bytes += bytes
		totals.Chunks[hash] += bytes
		addBounded(totals.Peers, peer, bytes)
		addBounded(totals.Callers, r.UserAgent(), bytes)
		if !whole {
			totals.CutOff++
		}
	})
}

func addBounded(counts map[string]int64, name string, bytes int64) {
	if _, found := counts[name]; !found && len(counts) >= maxNames {
		name = "others"
	}
	counts[name] += bytes
}

// report returns a copy of the ledger with one line per version.
func (b *transferRecorder) report(versions []*version) Ledger {
	b.mu.Lock()
	defer b.mu.Unlock()
	out := b.totals
	out.Chunks = maps.Clone(out.Chunks)
	out.Peers = maps.Clone(out.Peers)
	out.Callers = maps.Clone(out.Callers)
	out.Versions = []VersionLine{}
	for _, version := range versions {
		line := VersionLine{Version: version.name, Size: version.size}
		for _, hash := range version.hashes {
			line.Bytes += out.Chunks[hash]
		}
		line.Copies = float64(line.Bytes) / float64(line.Size)
		out.Versions = append(out.Versions, line)
	}
	return out
}
