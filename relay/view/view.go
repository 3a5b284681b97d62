// Package view holds what one process knows of the deployment at one moment: the
// document and plan in force, and the latest reports of hosts and entries.
package view

import (
	"sync"
	"time"

	"comfreyrelay.example/relay/wire"
)

// Host is the latest report of one host and when it arrived here.
type Host struct {
	report  *wire.HostReport
	seenAt  time.Time // by the local clock, less the age the report came with
	leaving bool      // from the report, the platform's list or an operator
	lost    bool      // silent for longer than the membership's limit
}

// NewHost makes a Host.
func NewHost(report *wire.HostReport, seenAt time.Time, leaving, lost bool) Host {
	return Host{report: report, seenAt: seenAt, leaving: leaving, lost: lost}
}

// Report returns the host's own report; the caller does not change them.
func (h Host) Report() *wire.HostReport { return h.report }

// SeenAt returns when the report was made, by the local clock.
func (h Host) SeenAt() time.Time { return h.seenAt }

// Leaving reports whether the host may get no new work.
func (h Host) Leaving() bool { return h.leaving }

// Lost reports whether the host has been silent too long to be relied on.
func (h Host) Lost() bool { return h.lost }

// Peer is one entry as others know it.
type Peer struct {
	report  *wire.EntryReport
	seenAt  time.Time
	leaving bool
	lost    bool
}

// NewPeer makes a Peer.
func NewPeer(report *wire.EntryReport, seenAt time.Time, leaving, lost bool) Peer {
	return Peer{report: report, seenAt: seenAt, leaving: leaving, lost: lost}
}

// Report returns the entry's own report.
func (p Peer) Report() *wire.EntryReport { return p.report }

// SeenAt returns when the report was made, by the local clock.
func (p Peer) SeenAt() time.Time { return p.seenAt }

// Leaving reports whether callers should no longer be sent to the entry.
func (p Peer) Leaving() bool { return p.leaving }

// Lost reports whether the entry has been silent too long.
func (p Peer) Lost() bool { return p.lost }

// Snapshot is immutable; readers share it without a lock.
type Snapshot struct {
	Revision     uint32
	PlanRevision uint32
	Document     *wire.Document // nil while no revision is in force
	Plan         *wire.Plan     // nil while there is none
	Hosts        []Host         // sorted by id
	Entries      []Peer         // sorted by id, this process included
	// ConfirmedAt is when the service last confirmed the revision to anyone
	// in the chain it came through.
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

// Load returns the current snapshot and a channel that closes when a newer one
// is there.
func (h *Holder) Load() (*Snapshot, <-chan struct{}) {
	h.mu.Lock()
	defer h.mu.Unlock()
	return h.current, h.changed
}

// Store publishes a snapshot. It panics where the revision would fall: a
// process never steps back to an older configuration.
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
