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
	Report *wire.HostReport
	SeenAt time.Time
	// Home: the sender is the entry that the host reports to.
	Home     bool
	Nearness int
}

// summary is what of a report is worth sending when it changes.
type summary struct {
	incarnation   string
	home          string // a new home is the one whose report of the host counts
	leaving, lost bool
	statesHash    uint64 // hash of the versions' states
	load          int    // running and queued requests
	slots         int
}

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

// differs reports whether something changed that only a whole report bears.
func (s summary) needsFullReport(other summary) bool {
	return s.incarnation != other.incarnation || s.statesHash != other.statesHash || s.slots != other.slots
}

// stops reports whether new work for the host must stop or may begin.
func (s summary) availabilityDiffers(other summary) bool {
	return s.leaving != other.leaving || s.lost != other.lost
}

// loadDiffers reports whether the load changed so far that it is worth bytes:
// small moves are not, since every router corrects them by what it sent itself.
func (s summary) loadDiffers(other summary) bool {
	step := max(2, s.slots/4)
	return s.load-other.load >= step || other.load-s.load >= step
}

// mark is what one receiver last knew of one host, from us or in its own reports.
type knownReport struct {
	summary  summary
	sequence uint64
	at       time.Time
	// whole is the sequence of the whole report behind it, sent at fullSentAt.
	fullSequence uint64
	fullSentAt   time.Time
}

// refreshesPerFullReport is how many refreshes after a whole report it is sent again:
// the prefixes and counters in it are then older than what they describe.
const refreshesPerFullReport = 3

// Digest remembers what one receiver knows, so that a message bears only news.
// It is not safe for concurrent use.
type Digest struct {
	known map[string]knownReport
	// refresh is the age at which an unchanged report is sent again: a message
	// may have been lost.
	refreshInterval time.Duration
	// routes: the receiver sends requests to hosts, so their load is news.
	receiverRoutes bool
}

// NewDigest returns the memory for one receiver; routes says that it sends
// requests to hosts.
func NewDigest(refresh time.Duration, receiverRoutes bool) *Digest {
	return &Digest{known: map[string]knownReport{}, refreshInterval: refresh, receiverRoutes: receiverRoutes}
}

// SetRefresh changes the age at which an unchanged report is sent again.
func (d *Digest) SetRefresh(refresh time.Duration) { d.refreshInterval = refresh }

// Received notes that the receiver itself sent the report, made whole here.
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

// Lose notes that the receiver lacks the whole report.
func (d *Digest) Lose(id string) { delete(d.known, id) }

// compose returns the report as it should be sent, and notes that it is.
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
		amendment.Home = "" // one entry alone reports a host to it
	}
	return amendment
}

// Forget drops the marks of hosts that are not in the set, to bound them.
func (d *Digest) Forget(exists func(id string) bool) {
	for id := range d.known {
		if !exists(id) {
			delete(d.known, id)
		}
	}
}

// Len returns the number of hosts remembered.
func (d *Digest) Len() int { return len(d.known) }

// urgency orders what a receiver should get.
type urgency int

const (
	// urgent: new work must stop or may begin; it does not wait for bytes.
	urgent urgency = iota
	// changed: other states, another home, a host unknown to it.
	changed
	// routine: another load, or a refresh.
	routine
	// known: nothing to send.
	upToDate
)

// news returns how soon the receiver should get the report.
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

// item is a candidate that the receiver should get.
type rankedCandidate struct {
	Candidate

	urgency urgency
}

// Select returns the reports for one message, at most the given bytes but for
// urgent ones: the most urgent first, then those of hosts at home with the
// sender, then the nearest, then the newest. What does not fit waits for the
// next message.
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

// restore takes back what was noted of a report that did not fit.
func (d *Digest) restore(id string, before knownReport, seen bool) {
	if !seen {
		delete(d.known, id)
		return
	}
	d.known[id] = before
}

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

// millis returns an age as messages bear it; the receiver's clock is never
// compared with the sender's.
func ageMillis(age time.Duration) uint32 {
	return uint32(min(max(0, age.Milliseconds()), int64(^uint32(0))))
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

// Copy returns a shallow copy as a whole report: lists and messages inside are
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
