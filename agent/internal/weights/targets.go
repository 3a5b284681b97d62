package weights

import (
	"context"
	"slices"
	"time"
)

// Target is a version that should become whole on this host.
type Target struct {
	Version string
	// Larger is fetched first.
	Priority int
	// PullFrom puts off fetches from peers, so that other hosts are whole
	// first; the zero time puts off nothing.
	PullFrom time.Time
}

// Policy is how the document wants versions to be moved.
type Policy struct {
	// Objective is "time" or "originBytes".
	Objective string
	// OriginCopies bounds the copies that the origin may send with objective
	// time, 1 to 4.
	OriginCopies int
	// Keep lists versions whose chunks stay although they are no targets,
	// because the engine still uses them.
	Keep []string
}

// SetTargets says which versions the host should hold. The newest call wins:
// chunks in common are kept, the others are dropped unless policy.Keep names
// their version.
func (m *Manager) SetTargets(targets []Target, policy Policy) {
	m.mu.Lock()
	m.targets = slices.Clone(targets)
	m.policy = policy
	m.policy.Keep = slices.Clone(policy.Keep)
	m.mu.Unlock()
	signal(m.wake)
}

// apply starts and stops transfers as the newest targets say.
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

// ensureTransfer starts or adapts a transfer; m.mu is held. A passive one keeps
// and serves what the host has and fetches nothing but its manifest.
func (m *Manager) ensureTransfer(ctx context.Context, target Target, passive bool) {
	trans := m.transfers[target.Version]
	if trans == nil {
		trans = newTransfer(m, target.Version, m.policy)
		trans.pullNotBefore = target.PullFrom
		m.transfers[target.Version] = trans
		trans.start(ctx)
	}
	trans.update(target.Priority, passive, m.policy)
}

// dropUnneeded forgets chunks that no transfer's manifest names. While one
// manifest is unknown nothing is dropped: its chunks may be among them.
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

// outranked reports whether a target of higher priority still makes progress, and
// whether the origin sends it yet. Once it does not, the origin is free for the next one:
// it stood idle for the second in which the last chunks of a version spread.
func (m *Manager) higherPriorityActive(priority int) (active, originBusy bool) {
	for _, trans := range m.allTransfers() {
		if other, busy := trans.activePriority(); other > priority {
			active, originBusy = true, originBusy || busy
		}
	}
	return active, originBusy
}
