package weights

import (
	"context"
	"slices"
	"time"
)

// Target is a version that this host should have completely.
type Target struct {
	Version string
	// Priority orders the targets: the highest is fetched first.
	Priority int
	// PullNotBefore is the time before which nothing is fetched from peers, so that
	// other hosts complete the version first; zero means no delay.
	PullNotBefore time.Time
}

// Policy holds the document's settings for the transfer of versions.
type Policy struct {
	// Objective is "time" or "originBytes".
	Objective string
	// OriginCopies bounds how many copies the origin may send with objective
	// "time", from 1 to 4.
	OriginCopies int
	// Keep lists versions that are not targets but whose chunks stay stored
	// because the engine still uses them.
	Keep []string
}

// SetTargets sets the versions that the host should have, in place of those of
// earlier calls. Chunks that a new target shares with an earlier one stay stored;
// the others are dropped unless their version is in policy.Keep.
func (m *Manager) SetTargets(targets []Target, policy Policy) {
	m.mu.Lock()
	m.targets = slices.Clone(targets)
	m.policy = policy
	m.policy.Keep = slices.Clone(policy.Keep)
	m.mu.Unlock()
	signal(m.wake)
}

// applyTargets starts, updates and stops transfers according to the latest
// targets.
func (m *Manager) applyTargets(ctx context.Context) {
	m.mu.Lock()
	wanted := map[string]Target{}
	for _, target := range m.targets {
		wanted[target.Version] = target
	}
	var removed []*transfer
	for version, trans := range m.transfers {
		if _, ok := wanted[version]; !ok && !slices.Contains(m.policy.Keep, version) {
			delete(m.transfers, version)
			removed = append(removed, trans)
		}
	}
	for _, version := range m.policy.Keep {
		if _, ok := wanted[version]; !ok {
			m.ensureTransfer(ctx, Target{Version: version}, true)
		}
	}
	for _, target := range wanted {
		m.ensureTransfer(ctx, target, false)
	}
	m.mu.Unlock()
	for _, trans := range removed {
		trans.stop()
	}
	m.notifyChange()
}

// ensureTransfer starts or updates a transfer. A passive one serves the stored
// chunks and fetches nothing but the manifest. m.mu must be held.
func (m *Manager) ensureTransfer(ctx context.Context, target Target, passive bool) {
	trans := m.transfers[target.Version]
	if trans == nil {
		trans = newTransfer(m, target.Version, m.policy)
		trans.pullNotBefore = target.PullNotBefore
		m.transfers[target.Version] = trans
		trans.start(ctx)
	}
	trans.update(target.Priority, passive, m.policy)
}

// dropUnneeded drops stored chunks that no transfer's manifest lists. While any
// manifest is unknown it drops nothing, since that manifest may list them. It ends
// early when new targets are set.
func (m *Manager) dropUnneeded(ctx context.Context) {
	needed := map[chunkHash]bool{}
	for _, trans := range m.allTransfers() {
		man := trans.manifest()
		if man == nil {
			return
		}
		for _, hash := range man.GetChunkHashes() {
			needed[chunkHash(hash)] = true
		}
	}
	for _, hash := range m.store.list() {
		if needed[hash] {
			continue
		}
		if len(m.wake) > 0 || ctx.Err() != nil {
			return
		}
		m.store.drop(ctx, hash)
	}
}

func (m *Manager) allTransfers() []*transfer {
	m.mu.RLock()
	defer m.mu.RUnlock()
	all := make([]*transfer, 0, len(m.transfers))
	for _, trans := range m.transfers {
		all = append(all, trans)
	}
	return all
}

func (m *Manager) stopAll() {
	for _, trans := range m.allTransfers() {
		trans.stop()
	}
}

// higherPriorityActive reports whether a target of higher priority still makes
// progress, and whether the origin still sends chunks of it. Once the origin has sent
// them all, the next target may use it: otherwise it was idle for the second in which
// the last chunks spread among the hosts.
func (m *Manager) higherPriorityActive(priority int) (active, originBusy bool) {
	for _, trans := range m.allTransfers() {
		if other, busy := trans.activePriority(); other > priority {
			active, originBusy = true, originBusy || busy
		}
	}
	return active, originBusy
}
