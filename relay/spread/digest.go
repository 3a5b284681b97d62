package spread

import (
	"cmp"
	"slices"
	"time"

	"github.com/cespare/xxhash/v2"
	"google.golang.org/protobuf/proto"

	"comfreyrelay.example/relay/membership"
	"comfreyrelay.example/relay/wire"
)

// Nearness of a report's host to the process that the report goes to.
const (
	SameDomain = iota
	SameRegion
	Far
)

// Candidate is a report that could go into a message.
type Candidate struct {
	Report  *wire.HostReport
	HeardAt time.Time
	// Home: the sender is the entry that the host reports to.
	Home     bool
	Nearness int
}

// summary is what of a report is worth telling when it changes.
type summary struct {
	incarnation   string
	home          string // a new home is the one whose word on the host counts
	leaving, lost bool
	states        uint64 // hash of the versions' states
	load          int    // running and queued requests
	slots         int
}

func summarize(report *wire.HostReport) summary {
	digest := xxhash.New()
	for _, state := range report.GetVersions() {
		for _, text := range []string{state.GetModel(), state.GetVersion(), state.GetState(), state.GetHoldUp()} {
			_, _ = digest.WriteString(text)
			_, _ = digest.Write([]byte{0})
		}
		for _, adapter := range state.GetAdapters() {
			_, _ = digest.WriteString(adapter.GetName() + "\x01" + adapter.GetVersion() + "\x01")
		}
	}
	return summary{
		incarnation: report.GetNode().GetIncarnation(),
		home:        report.GetHome(),
		leaving:     report.GetLeaving(),
		lost:        report.GetLost(),
		states:      digest.Sum64(),
		load:        int(report.GetRunning() + report.GetQueued()),
		slots:       int(report.GetSlots()),
	}
}

// differs reports whether more than the load changed.
func (s summary) differs(other summary) bool {
	s.load, other.load = 0, 0
	return s != other
}

// loadDiffers reports whether the load changed so far that it is worth bytes:
// small moves are not, since every router corrects them by what it sent itself.
func (s summary) loadDiffers(other summary) bool {
	step := max(2, s.slots/4)
	return s.load-other.load >= step || other.load-s.load >= step
}

// mark is what one receiver last heard of one host, from us or told us.
type mark struct {
	summary  summary
	sequence uint64
	at       time.Time
}

// Digest remembers what one receiver knows, so that a message bears only news.
// It is not safe for concurrent use.
type Digest struct {
	marks map[string]mark
	// refresh is the age at which an unchanged report is sent again: a message
	// may have been lost.
	refresh time.Duration
	// routes: the receiver sends requests to hosts, so their load is news.
	routes bool
}

// NewDigest returns the memory for one receiver; routes tells that it sends
// requests to hosts.
func NewDigest(refresh time.Duration, routes bool) *Digest {
	return &Digest{marks: map[string]mark{}, refresh: refresh, routes: routes}
}

// SetRefresh changes the age at which an unchanged report is sent again.
func (d *Digest) SetRefresh(refresh time.Duration) { d.refresh = refresh }

// Heard notes that the receiver itself sent the report.
func (d *Digest) Heard(report *wire.HostReport, now time.Time) {
	d.marks[report.GetNode().GetId()] = mark{summary: summarize(report), sequence: report.GetSequence(), at: now}
}

// Forget drops the marks of hosts that are not in the set, to bound them.
func (d *Digest) Forget(known func(id string) bool) {
	for id := range d.marks {
		if !known(id) {
			delete(d.marks, id)
		}
	}
}

// Len returns the number of hosts remembered.
func (d *Digest) Len() int { return len(d.marks) }

// news reports whether the receiver should hear the report.
func (d *Digest) news(report *wire.HostReport, now time.Time) bool {
	held, told := d.marks[report.GetNode().GetId()]
	if !told {
		return true
	}
	fresh := summarize(report)
	if fresh.incarnation == held.summary.incarnation && report.GetSequence() == held.sequence {
		return fresh.lost && !held.summary.lost
	}
	if !membership.Newer(fresh.incarnation, report.GetSequence(), held.summary.incarnation, held.sequence) {
		return false
	}
	return fresh.differs(held.summary) || now.Sub(held.at) >= d.refresh || (d.routes && fresh.loadDiffers(held.summary))
}

// Select returns the reports for one message, at most the given bytes: first
// of hosts at home with the sender, then the nearest, then the newest. What
// does not fit waits for the next message.
func (d *Digest) Select(candidates []Candidate, now time.Time, bytes int) []*wire.HostReport {
	var news []Candidate
	for _, candidate := range candidates {
		if d.news(candidate.Report, now) {
			news = append(news, candidate)
		}
	}
	slices.SortFunc(news, order)
	var chosen []*wire.HostReport
	for _, candidate := range news {
		size := proto.Size(candidate.Report)
		if size > bytes {
			break
		}
		bytes -= size
		chosen = append(chosen, Aged(candidate.Report, now.Sub(candidate.HeardAt)))
		d.Heard(candidate.Report, now)
	}
	return chosen
}

func order(a, b Candidate) int {
	if a.Home != b.Home {
		if a.Home {
			return -1
		}
		return 1
	}
	if byNearness := cmp.Compare(a.Nearness, b.Nearness); byNearness != 0 {
		return byNearness
	}
	if byAge := b.HeardAt.Compare(a.HeardAt); byAge != 0 {
		return byAge
	}
	return cmp.Compare(a.Report.GetNode().GetId(), b.Report.GetNode().GetId())
}

// Nearness returns how near two nodes are to each other.
func Nearness(a, b *wire.Node) int {
	switch {
	case a.GetFailureDomain() == b.GetFailureDomain():
		return SameDomain
	case a.GetRegion() == b.GetRegion():
		return SameRegion
	}
	return Far
}

// Aged returns a shallow copy of the report that bears its age; the receiver's
// clock is never compared with the sender's.
func Aged(report *wire.HostReport, age time.Duration) *wire.HostReport {
	dup := Copy(report)
	dup.AgeMillis = uint32(min(max(0, age.Milliseconds()), int64(^uint32(0))))
	return dup
}

// WithoutLoad returns what of a report serves a process that sends no requests
// to the host: where it is and what it holds.
func WithoutLoad(report *wire.HostReport) *wire.HostReport {
	return &wire.HostReport{
		Node: report.GetNode(), Sequence: report.GetSequence(), Leaving: report.GetLeaving(),
		Versions: report.GetVersions(), Endpoint: report.GetEndpoint(), Service: report.GetService(),
		AgeMillis: report.GetAgeMillis(), Home: report.GetHome(), Lost: report.GetLost(),
	}
}

// Copy returns a shallow copy: lists and messages inside are shared.
func Copy(report *wire.HostReport) *wire.HostReport {
	return &wire.HostReport{
		Node: report.GetNode(), Sequence: report.GetSequence(), Leaving: report.GetLeaving(),
		Versions: report.GetVersions(), Endpoint: report.GetEndpoint(), Service: report.GetService(),
		EngineRole: report.GetEngineRole(), Running: report.GetRunning(), Queued: report.GetQueued(),
		Slots: report.GetSlots(), TokensPerSecond: report.GetTokensPerSecond(),
		TokenGapMillis: report.GetTokenGapMillis(), OriginBytes: report.GetOriginBytes(),
		PeerBytes: report.GetPeerBytes(), SentBytes: report.GetSentBytes(), AgeMillis: report.GetAgeMillis(),
		Prefixes: report.GetPrefixes(), Fence: report.GetFence(), Home: report.GetHome(),
		Lost: report.GetLost(), Revision: report.GetRevision(), PlanRevision: report.GetPlanRevision(),
	}
}
