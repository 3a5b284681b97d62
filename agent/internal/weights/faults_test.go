package weights

import (
	"testing"
)

// Guards against chunks that are dropped or fetched for targets that are no longer the
// latest, which leaves mixed or missing weights. The target changes from the first
// version to the second and straight back while each is half fetched.
func TestTargetSwitchedDuringTransferAndBack(t *testing.T) {
	fleet := newTestFleet(t, 4)
	firstData, secondData := randomData(1, 128), randomData(2, 128)
	firstVersion, secondVersion := fleet.origin.publish(t, firstData), fleet.origin.publish(t, secondData)
	fleet.setTargets(firstVersion)
	host := fleet.hosts[0]
	await(t, "chunk of the first version", func() bool { return host.mgr.State(firstVersion).Have() > 10 })
	fleet.setTargets(secondVersion)
	await(t, "chunk of the second version", func() bool { return host.mgr.State(secondVersion).Have() > 10 })
	fleet.setTargets(firstVersion)
	fleet.awaitWhole(firstVersion)
	for _, host := range fleet.hosts {
		host.store.requireData(t, firstData)
		if got := host.mgr.State(secondVersion).Phase(); got != Absent {
			t.Errorf("got %s for the version that is not a target, want %s", got, Absent)
		}
		await(t, "drop of the other version", func() bool {
			held, _ := host.store.held(t.Context())
			return len(held) == 128
		})
	}
}

// Guards against requests without a time limit, which stall the fleet: a host that holds
// chunks accepts requests but neither answers nor closes the connection.
func TestStalledHostDoesNotBlockFleet(t *testing.T) {
	fleet := newTestFleet(t, 5)
	data := randomData(1, 96)
	version := fleet.origin.publish(t, data)
	fleet.setTargets(version)
	stalled := fleet.hosts[4]
	await(t, "chunk on the host that will stall", func() bool { return stalled.mgr.State(version).Have() > 5 })
	stalled.stalled.Store(true)
	fleet.hosts = fleet.hosts[:4]
	fleet.awaitWhole(version)
	for _, host := range fleet.hosts {
		host.store.requireData(t, data)
	}
}

// Guards against chunks that no host fetches from the origin because their owner is dead,
// so that the other hosts wait for it. The host dies while it sends and stays in the list
// of peers.
func TestDeadHostInPeerListDoesNotBlockFleet(t *testing.T) {
	fleet := newTestFleet(t, 5)
	data := randomData(1, 96)
	version := fleet.origin.publish(t, data)
	fleet.setTargets(version)
	dying := fleet.hosts[4]
	await(t, "chunk on the host that will die", func() bool { return dying.mgr.State(version).Have() > 5 })
	dying.stop()
	fleet.hosts = fleet.hosts[:4]
	fleet.awaitWhole(version)
	for _, host := range fleet.hosts {
		host.store.requireData(t, data)
	}
}

// Guards against corrupt bytes that are passed on, and against a loss that goes
// unnoticed, so that a host keeps reporting the chunk. The store of a host with a complete
// version corrupts one chunk, then a new host requests it.
func TestCorruptStoredChunkIsNotServed(t *testing.T) {
	fleet := newTestFleet(t, 1)
	data := randomData(1, 16)
	version := fleet.origin.publish(t, data)
	fleet.setTargets(version)
	fleet.awaitWhole(version)
	corruptHost := fleet.hosts[0]
	corruptHost.store.mu.Lock()
	for hash := range corruptHost.store.chunks {
		corruptHost.store.chunks[hash][0] ^= 1
		break
	}
	corruptHost.store.mu.Unlock()
	host := fleet.add("host-new", &memoryStore{chunks: map[string][]byte{}}, nil)
	host.setTargets(version)
	fleet.awaitWhole(version)
	for _, host := range fleet.hosts {
		host.store.requireData(t, data)
	}
}
