package weights

import (
	"testing"
)

// Symptom: mixed or missing weights after a change of mind. Sequence: version
// one is half there, version two is wanted, then one again, at once. Cause
// guarded against: chunks dropped or fetched for targets that are no longer the
// newest.
func TestTargetSwitchedDuringTransferAndBack(t *testing.T) {
	flt := newFleet(t, 4)
	firstData, secondData := randomData(1, 128), randomData(2, 128)
	firstVersion, secondVersion := flt.origin.publish(t, firstData), flt.origin.publish(t, secondData)
	flt.setTargets(firstVersion)
	host := flt.hosts[0]
	await(t, "chunk of the first version", func() bool { return host.mgr.State(firstVersion).Have() > 10 })
	flt.setTargets(secondVersion)
	await(t, "chunk of the second version", func() bool { return host.mgr.State(secondVersion).Have() > 10 })
	flt.setTargets(firstVersion)
	flt.awaitWhole(firstVersion)
	for _, host := range flt.hosts {
		host.store.requireData(t, firstData)
		if got := host.mgr.State(secondVersion).Phase(); got != Absent {
			t.Errorf("got %s for the version that is no target, want %s", got, Absent)
		}
		await(t, "drop of the other version", func() bool {
			held, _ := host.store.held(t.Context())
			return len(held) == 128
		})
	}
}

// Symptom: the fleet stands still. Sequence: a host that holds chunks takes
// requests and answers none, without closing a connection. Cause guarded
// against: a request that is waited for without end.
func TestStalledHostDoesNotBlockFleet(t *testing.T) {
	flt := newFleet(t, 5)
	data := randomData(1, 96)
	version := flt.origin.publish(t, data)
	flt.setTargets(version)
	stalled := flt.hosts[4]
	await(t, "chunk on the host that will stall", func() bool { return stalled.mgr.State(version).Have() > 5 })
	stalled.stalled.Store(true)
	flt.hosts = flt.hosts[:4]
	flt.awaitWhole(version)
	for _, host := range flt.hosts {
		host.store.requireData(t, data)
	}
}

// Symptom: hosts wait for one that is gone. Sequence: a host dies while it
// sends and stays in the list of peers. Cause guarded against: a dead owner
// whose chunks nobody draws.
func TestDeadHostInPeerListDoesNotBlockFleet(t *testing.T) {
	flt := newFleet(t, 5)
	data := randomData(1, 96)
	version := flt.origin.publish(t, data)
	flt.setTargets(version)
	dying := flt.hosts[4]
	await(t, "chunk on the host that will die", func() bool { return dying.mgr.State(version).Have() > 5 })
	dying.stop()
	flt.hosts = flt.hosts[:4]
	flt.awaitWhole(version)
	for _, host := range flt.hosts {
		host.store.requireData(t, data)
	}
}

// Symptom: a host reports chunks that its store lost. Sequence: whole, then the
// store loses one chunk's bytes, then a new host asks for it. Cause guarded
// against: corrupt bytes passed on, or a loss that nobody notices.
func TestCorruptStoredChunkIsNotServed(t *testing.T) {
	flt := newFleet(t, 1)
	data := randomData(1, 16)
	version := flt.origin.publish(t, data)
	flt.setTargets(version)
	flt.awaitWhole(version)
	corruptHost := flt.hosts[0]
	corruptHost.store.mu.Lock()
	for hash := range corruptHost.store.chunks {
		corruptHost.store.chunks[hash][0] ^= 1
		break
	}
	corruptHost.store.mu.Unlock()
	host := flt.add("host-new", &memoryStore{chunks: map[string][]byte{}}, nil)
	host.setTargets(version)
	flt.awaitWhole(version)
	for _, host := range flt.hosts {
		host.store.requireData(t, data)
	}
}
