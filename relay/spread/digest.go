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

// Nearness of a report's host to the receiver of the report, nearest first.
const (
	SameDomain = iota
	SameRegion
	Far
)

// Candidate is a report that could go into a message.
type Candidate struct {
	Report *wire.HostReport
	SeenAt time.Time
	// Home is set if the host reports to the sender.
	Home     bool
	Nearness int
}

// summary holds the parts of a report whose changes are worth sending.
type summary struct {
	incarnation   string
	home          string // the entry that the host reports to, whose reports of it take precedence
	leaving, lost bool
	statesHash    uint64 // hash of the versions' states
	load          int    // running and queued requests
	slots         int
}

// summarize returns the summary of a report.
func summarize(report *wire.HostReport) summary {
	hash := xxhash.New()
	for _, state := range report.GetVersions() {
		for _, text := range []string{state.GetModel(), state.GetVersion(), state.GetState(), state.GetHoldUp()} {
			_, _ = hash.WriteString(text)
			_, _ = hash.Write([]byte{0})
		}
		for _, adapter := range state.GetAdapters() {
			_, _ = hash.WriteString(adapter.GetName() + "\x01" + adapter.GetVersion() + "\x01")
		}
	}
	return summary{
		incarnation: report.GetNode().GetIncarnation(),
		home:        report.GetHome(),
		leaving:     report.GetLeaving(),
		lost:        report.GetLost(),
		statesHash:  hash.Sum64(),
		load:        int(report.GetRunning() + report.GetQueued()),
		slots:       int(report.GetSlots()),
	}
}

// needsFullReport reports whether something changed that only a full report carries.
func (s summary) needsFullReport(other summary) bool {
	return s.incarnation != other.incarnation || s.statesHash != other.statesHash || s.slots != other.slots
}

// availabilityDiffers reports whether new work for the host must stop or may begin.
func (s summary) availabilityDiffers(other summary) bool {
	return s.leaving != other.leaving || s.lost != other.lost
}

// loadDiffers reports whether the load changed enough to be worth sending. Small changes
// are not, since every router adjusts the load by the requests that it sent itself.
func (s summary) loadDiffers(other summary) bool {
	step := max(2, s.slots/4)
	return s.load-other.load >= step || other.load-s.load >= step
}

// knownReport describes the last report of one host that one receiver is known to have,
// either sent to it or received from it.
type knownReport struct {
	summary  summary
	sequence uint64
	at       time.Time
	// fullSequence is the sequence of the full report that it is based on, and
	// fullSentAt the time when that one was sent or received.
	fullSequence uint64
	fullSentAt   time.Time
}

// refreshesPerFullReport is the number of refresh intervals after which a full report is sent
// again, since its prefixes and counters are outdated by then.
const refreshesPerFullReport = 3

// Digest tracks which reports of hosts one receiver has, so that a message carries only
// changes. It is not safe for concurrent use.
type Digest struct {
	known map[string]knownReport
	// refreshInterval is the age at which an unchanged report is sent again, since a
	// message may have been lost.
	refreshInterval time.Duration
	// receiverRoutes is set if the receiver sends requests to hosts and so needs their load.
	receiverRoutes bool
}

// NewDigest returns an empty Digest for one receiver. Set receiverRoutes if the receiver
// sends requests to hosts.
func NewDigest(refresh time.Duration, receiverRoutes bool) *Digest {
	return &Digest{known: map[string]knownReport{}, refreshInterval: refresh, receiverRoutes: receiverRoutes}
}

// SetRefresh changes the age at which an unchanged report is sent again.
func (d *Digest) SetRefresh(refresh time.Duration) { d.refreshInterval = refresh }

// Received records a report that came from the receiver itself, after any amendment was
// completed to a full report.
func (d *Digest) Received(report *wire.HostReport, now time.Time) {
	id := report.GetNode().GetId()
	next := knownReport{
		summary: summarize(report), sequence: report.GetSequence(), at: now,
		fullSequence: membership.WholeSequence(report), fullSentAt: now,
	}
	if held := d.known[id]; held.fullSequence >= next.fullSequence && held.summary.incarnation == next.summary.incarnation {
		next.fullSequence, next.fullSentAt = held.fullSequence, held.fullSentAt
	}
	d.known[id] = next
}

// Invalidate records that the receiver lacks the full report of a host.
func (d *Digest) Invalidate(id string) { delete(d.known, id) }

// prepareAndRecord returns the report as it should be sent, in full or as an amendment, and
// records it as sent.
func (d *Digest) prepareAndRecord(report *wire.HostReport, now time.Time) *wire.HostReport {
	id := report.GetNode().GetId()
	held, seen := d.known[id]
	next := knownReport{
		summary: summarize(report), sequence: report.GetSequence(), at: now,
		fullSequence: report.GetSequence(), fullSentAt: now,
	}
	if !seen || next.summary.needsFullReport(held.summary) || now.Sub(held.fullSentAt) >= refreshesPerFullReport*d.refreshInterval {
		d.known[id] = next
		if !d.receiverRoutes {
			return WithoutLoad(report)
		}
		return Copy(report)
	}
	next.fullSequence, next.fullSentAt = held.fullSequence, held.fullSentAt
	d.known[id] = next
	amendment := membership.Amend(report, held.fullSequence)
	if !d.receiverRoutes {
		amendment.Running, amendment.Queued, amendment.TokensPerSecond, amendment.TokenGapMillis = 0, 0, 0, 0
		amendment.Revision, amendment.PlanRevision = 0, 0
		amendment.Home = "" // such a receiver gets the reports of a host from only one entry
	}
	return amendment
}

// Prune drops the records of hosts that no longer exist, to bound memory.
func (d *Digest) Prune(exists func(id string) bool) {
	for id := range d.known {
		if !exists(id) {
			delete(d.known, id)
		}
	}
}

// Len returns the number of hosts on record.
func (d *Digest) Len() int { return len(d.known) }

// urgency is the priority of a report for a receiver; lower values go first.
type urgency int

const (
	// urgent: new work for the host must stop or may begin. The byte limit does not
	// apply to such a report.
	urgent urgency = iota
	// changed: the states or the home differ, or the receiver has no report of the host.
	changed
	// routine: the load differs, or a refresh is due.
	routine
	// upToDate: there is nothing to send.
	upToDate
)

// urgencyOf returns how urgently the receiver needs the report.
func (d *Digest) urgencyOf(report *wire.HostReport, now time.Time) urgency {
	held, seen := d.known[report.GetNode().GetId()]
	if !seen {
		return changed
	}
	current := summarize(report)
	if current.incarnation == held.summary.incarnation && report.GetSequence() == held.sequence {
		if current.lost && !held.summary.lost {
			return urgent
		}
		return upToDate
	}
	switch {
	case !membership.Newer(current.incarnation, report.GetSequence(), held.summary.incarnation, held.sequence):
		return upToDate
	case current.availabilityDiffers(held.summary):
		return urgent
	case current.needsFullReport(held.summary) || current.home != held.summary.home:
		return changed
	case now.Sub(held.at) >= d.refreshInterval || (d.receiverRoutes && current.loadDiffers(held.summary)):
		return routine
	}
	return upToDate
}

// rankedCandidate is a candidate that the receiver should get, with its urgency.
type rankedCandidate struct {
	Candidate

	urgency urgency
}

// Select returns the reports for one message and records them as sent. They are ordered by
// urgency, then hosts that report to the sender first, then by nearness, then newest first.
// Only urgent reports may exceed the byte limit; what does not fit waits for the next message.
func (d *Digest) Select(candidates []Candidate, now time.Time, byteLimit int) []*wire.HostReport {
	var pending []rankedCandidate
	for _, candidate := range candidates {
		if urgency := d.urgencyOf(candidate.Report, now); urgency != upToDate {
			pending = append(pending, rankedCandidate{Candidate: candidate, urgency: urgency})
		}
	}
	slices.SortFunc(pending, byPriority)
	var chosen []*wire.HostReport
	for _, candidate := range pending {
		id := candidate.Report.GetNode().GetId()
		before, seen := d.known[id]
		report := d.prepareAndRecord(candidate.Report, now)
		size := proto.Size(report)
		if size > byteLimit && candidate.urgency != urgent {
			d.restore(id, before, seen)
			break
		}
		byteLimit -= size
		report.AgeMillis = ageMillis(now.Sub(candidate.SeenAt))
		chosen = append(chosen, report)
	}
	return chosen
}

// restore undoes the record of a report that did not fit.
func (d *Digest) restore(id string, before knownReport, seen bool) {
	if !seen {
		delete(d.known, id)
		return
	}
	d.known[id] = before
}

// byPriority compares two candidates in the order that Select describes.
func byPriority(a, b rankedCandidate) int {
	if byUrgency := cmp.Compare(a.urgency, b.urgency); byUrgency != 0 {
		return byUrgency
	}
	if a.Home != b.Home {
		if a.Home {
			return -1
		}
		return 1
	}
	if byNearness := cmp.Compare(a.Nearness, b.Nearness); byNearness != 0 {
		return byNearness
	}
	if byAge := b.SeenAt.Compare(a.SeenAt); byAge != 0 {
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

// ageMillis returns an age in milliseconds, as messages carry it. They carry ages and not
// times, so that the receiver's clock is never compared with the sender's.
func ageMillis(age time.Duration) uint32 {
	return uint32(min(max(0, age.Milliseconds()), int64(^uint32(0))))
}

// WithoutLoad returns a copy of a report for a process that sends no requests to the host.
// It keeps where the host is and which versions it holds, and omits the load.
func WithoutLoad(report *wire.HostReport) *wire.HostReport {
	return &wire.HostReport{
		Node: report.GetNode(), Sequence: report.GetSequence(), Leaving: report.GetLeaving(),
		Versions: report.GetVersions(), Endpoint: report.GetEndpoint(), Service: report.GetService(),
		AgeMillis: report.GetAgeMillis(), Home: report.GetHome(), Lost: report.GetLost(),
	}
}

// Copy returns a shallow copy of a report as a full report. Lists and messages inside are
// shared.
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
