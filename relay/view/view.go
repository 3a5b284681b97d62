// Package view holds a process's view of the deployment at one time: the current
// document and plan, and the latest reports of hosts and entries.
package view

import (
	"sync"
	"time"

	"comfreyrelay.example/relay/wire"
)

// Host is the latest report of one host and the time when it was made.
type Host struct {
	report  *wire.HostReport
	seenAt  time.Time // local time of arrival minus the age of the report
	leaving bool      // from the report, the platform's list or an operator
	lost    bool      // no report for longer than the membership's limit
}

// NewHost returns a Host.
func NewHost(report *wire.HostReport, seenAt time.Time, leaving, lost bool) Host {
	return Host{report: report, seenAt: seenAt, leaving: leaving, lost: lost}
}

// Report returns the host's own report. The caller must not modify it.
func (h Host) Report() *wire.HostReport { return h.report }

// SeenAt returns when the report was made, by the local clock.
func (h Host) SeenAt() time.Time { return h.seenAt }

// Leaving reports whether the host may get no new work.
func (h Host) Leaving() bool { return h.leaving }

// Lost reports whether the host has sent no report for too long to be relied on.
func (h Host) Lost() bool { return h.lost }

// Peer is the latest report of one entry and the time when it was made.
type Peer struct {
	report  *wire.EntryReport
	seenAt  time.Time
	leaving bool
	lost    bool
}

// NewPeer returns a Peer.
func NewPeer(report *wire.EntryReport, seenAt time.Time, leaving, lost bool) Peer {
	return Peer{report: report, seenAt: seenAt, leaving: leaving, lost: lost}
}

// Report returns the entry's own report.
func (p Peer) Report() *wire.EntryReport { return p.report }

// SeenAt returns when the report was made, by the local clock.
func (p Peer) SeenAt() time.Time { return p.seenAt }

// Leaving reports whether callers should no longer be sent to the entry.
func (p Peer) Leaving() bool { return p.leaving }

// Lost reports whether the entry has sent no report for too long.
func (p Peer) Lost() bool { return p.lost }

// Snapshot is the view at one time. It is immutable, so that readers share it
// without a lock.
type Snapshot struct {
	Revision     uint32
	PlanRevision uint32
	Document     *wire.Document // nil before the first revision
	Plan         *wire.Plan     // nil while there is none
	Hosts        []Host         // sorted by id
	Entries      []Peer         // sorted by id, this process included
	// ConfirmedAt is when the service last confirmed the revision to any of
	// the processes that relayed it.
	ConfirmedAt time.Time
}

// Holder publishes snapshots to readers.
type Holder struct {
	mu      sync.Mutex
	current *Snapshot
	changed chan struct{} // closed and replaced at each Store
}

// NewHolder returns a Holder with an empty snapshot.
func NewHolder() *Holder {
	return &Holder{current: &Snapshot{}, changed: make(chan struct{})}
}

// Load returns the current snapshot and a channel that is closed when a newer one
// is stored.
func (h *Holder) Load() (*Snapshot, <-chan struct{}) {
	h.mu.Lock()
	defer h.mu.Unlock()
	return h.current, h.changed
}

// Store publishes a snapshot. It panics if the revision or the plan revision
// would decrease: a process must never return to an older configuration.
func (h *Holder) Store(next *Snapshot) {
	h.mu.Lock()
	defer h.mu.Unlock()
	if next.Revision < h.current.Revision || next.PlanRevision < h.current.PlanRevision {
		panic("view: a snapshot with an older revision was published")
	}
	h.current = next
	close(h.changed)
	h.changed = make(chan struct{})
}
