package weights

import (
	"context"
	"math"
	"math/rand/v2"
	"sync"
	"time"

	"comfreyrelay.example/relay/rendezvous"
	"comfreyrelay.example/relay/wire"
)

const (
	// manifestIndex in a ChunkRequest asks for the encoded manifest.
	manifestIndex = math.MaxUint32
	// maxManifestBytes bounds a manifest: 65,536 chunks and some.
	maxManifestBytes = 2<<20 + 64<<10
	// manifestOwners draw the manifest from the origin; the others ask them
	// and one another, so that the origin does not send one to each host.
	manifestOwnerCount = 3
	// manifestPatience is how long the others wait before they ask the origin.
	manifestOriginDelay    = 3 * time.Second
	manifestRequestTimeout = 2 * time.Second
	manifestRetryDelay     = 75 * time.Millisecond
	// manifestHold is how long a host that fetches the manifest itself lets
	// another wait for it: as long as that one waits, so that the other has it as
	// soon as this one.
	manifestWaitTimeout = manifestRequestTimeout
	// manifestAsks is how many peers a host asks at once. Those that have no manifest
	// ask others in turn, so that it comes from whoever has it over all who wait, at
	// once; with one each, few chains of hosts that wait lead there, and one host
	// that answers nothing ends a chain.
	parallelManifestRequests = 3
	// originRetry and maxOriginRetry bound the pause after the origin failed,
	// the latter where the configuration does not say.
	initialOriginBackoff = 500 * time.Millisecond
	maxOriginBackoff     = 15 * time.Second
)

// fetchManifest gets the manifest from a peer or the origin and checks it
// against the version, until that succeeds or ctx is done.
func (t *transfer) fetchManifest(ctx context.Context) error {
	startedAt := t.now()
	backoff := min(initialOriginBackoff, t.mgr.cfg.MaxBackoff/2)
	nextOriginAttempt := startedAt
	for {
		if t.mayAskOriginForManifest(startedAt) && !t.now().Before(nextOriginAttempt) {
			if t.fetchManifestFromOrigin(ctx) == nil {
				return nil
			}
			nextOriginAttempt = t.now().Add(backoff + rand.N(backoff))
			// All hosts wait for a manifest, and few draw it: they ask more often than
			// those who draw chunks.
			backoff = min(2*backoff, t.mgr.cfg.MaxBackoff/2)
		}
		timeout := manifestRequestTimeout
		if t.mayAskOriginForManifest(startedAt) {
			timeout = min(timeout, max(manifestRetryDelay, nextOriginAttempt.Sub(t.now())))
		}
		if t.fetchManifestFromPeers(ctx, timeout) == nil {
			return nil
		}
		if err := t.mgr.sleep(ctx, manifestRetryDelay+rand.N(manifestRetryDelay)); err != nil {
			return err
		}
	}
}

// manifestKey is what hosts are ranked for by their right to draw the manifest.
func (t *transfer) manifestRankKey() string { return "manifest/" + t.version }

// peerIDs returns the ids of the other hosts.
func (t *transfer) peerIDs() []string {
	peers := t.mgr.peers()
	ids := make([]string, 0, len(peers))
	for _, p := range peers {
		ids = append(ids, p.ID)
	}
	return ids
}

// drawsManifest reports whether this host may ask the origin: an owner at once,
// the others by rank after a while, so that they do not come together.
func (t *transfer) mayAskOriginForManifest(startedAt time.Time) bool {
	rank := rendezvous.Rank(t.manifestRankKey(), t.mgr.cfg.Self.GetId(), t.peerIDs())
	if rank < manifestOwnerCount {
		return true
	}
	wait := manifestOriginDelay * time.Duration(rank) / manifestOwnerCount
	return t.now().Sub(startedAt) >= wait
}

func (t *transfer) fetchManifestFromOrigin(ctx context.Context) error {
	ctx, cancel := context.WithTimeout(ctx, manifestRequestTimeout)
	defer cancel()
	encoded, err := t.downloadManifest(ctx)
	if err != nil {
		t.setProblem("the manifest cannot be drawn from the origin: " + err.Error())
		return err
	}
	t.mgr.originBytes.Add(uint64(len(encoded)))
	return t.acceptManifest(encoded)
}

func (t *transfer) downloadManifest(ctx context.Context) ([]byte, error) {
	if fetchManifest := t.mgr.cfg.Source.Manifest; fetchManifest != nil {
		return fetchManifest(ctx, t.version)
	}
	encoded, err := t.mgr.downloadFromOrigin(ctx, "/manifests/"+t.version, maxManifestBytes)
	if err != nil {
		return nil, err
	}
	return encoded, nil
}

// acceptManifest begins the transfer if the bytes are the version's manifest.
func (t *transfer) acceptManifest(encoded []byte) error {
	man, err := t.mgr.cfg.Source.Decode(encoded, t.version)
	if err == nil {
		t.startCore(man, encoded)
		t.mgr.notifyChange()
		return nil
	}
	t.mgr.cfg.Log.Warn("a manifest was refused", "version", t.version, "error", err)
	t.mu.Lock()
	t.failed, t.problem = true, err.Error()
	t.mu.Unlock()
	t.mgr.notifyChange()
	return err
}

// manifestFromPeers asks a few peers at once, others as these fail, until one sends the
// manifest or patience ends. A peer may let this host wait: one that draws the manifest itself
// has no longer patience than until its next draw.
func (t *transfer) fetchManifestFromPeers(ctx context.Context, timeout time.Duration) error {
	ctx, cancel := context.WithTimeout(ctx, timeout)
	defer cancel()
	var workers sync.WaitGroup
	defer workers.Wait()
	defer cancel()
	results := make(chan *verifiedManifest, parallelManifestRequests)
	for i := range parallelManifestRequests {
		workers.Go(func() {
			if result := t.askPeersForManifest(ctx, i == 0); result != nil {
				results <- result
			}
		})
	}
	select {
	case result := <-results:
		t.mgr.peerBytes.Add(uint64(len(result.encoded)))
		t.startCore(result.man, result.encoded)
		t.mgr.notifyChange()
		return nil
	case <-ctx.Done():
		return ctx.Err()
	}
}

// manifestFound is a manifest that is the version's.
type verifiedManifest struct {
	man     *wire.Manifest
	encoded []byte
}

// seekManifest asks one peer after the other until ctx is done, every second time an owner if
// it is to; nil: none sent the manifest.
func (t *transfer) askPeersForManifest(ctx context.Context, preferOwners bool) *verifiedManifest {
	for {
		if id := t.pickManifestPeer(preferOwners && rand.IntN(2) == 0); id != "" {
			if found := t.requestManifest(ctx, id); found != nil {
				return found
			}
		}
		if t.mgr.sleep(ctx, manifestRetryDelay+rand.N(manifestRetryDelay)) != nil {
			return nil
		}
	}
}

// manifestPeer returns a peer to ask, an owner if one is wanted; none where no peer is known.
func (t *transfer) pickManifestPeer(ownersOnly bool) string {
	peers := t.peerIDs()
	if ownersOnly {
		peers = rendezvous.Top(t.manifestRankKey(), peers, manifestOwnerCount)
	}
	if len(peers) == 0 {
		return ""
	}
	return peers[rand.IntN(len(peers))]
}

// askManifest asks one peer; nil: it sent none that is the version's.
func (t *transfer) requestManifest(ctx context.Context, id string) *verifiedManifest {
	req := &wire.ChunkRequest{From: t.mgr.cfg.Self, Version: t.version, Index: manifestIndex}
	encoded, fetchErr := t.mgr.requestFromPeer(ctx, id, req, maxManifestBytes, func(*wire.ChunkData) {})
	if fetchErr != nil {
		t.mgr.cfg.Log.Debug("a peer sent no manifest", "version", t.version, "peer", id, "error", fetchErr)
		return nil
	}
	man, err := t.mgr.cfg.Source.Decode(encoded, t.version)
	if err != nil {
		t.mgr.cfg.Log.Warn("a peer sent a wrong manifest", "version", t.version, "peer", id, "error", err)
		return nil
	}
	return &verifiedManifest{man: man, encoded: encoded}
}

// awaitManifest returns the manifest's bytes for a peer, which may wait a little
// for them; nil where they did not come.
func (t *transfer) awaitManifest(ctx context.Context) []byte {
	select {
	case <-t.manifestKnown:
	case <-ctx.Done():
	case <-t.mgr.cfg.Clock.After(manifestWaitTimeout):
	}
	return t.encodedManifest()
}

// encodedManifest returns the manifest's bytes for a peer; nil while unknown.
func (t *transfer) encodedManifest() []byte {
	t.mu.Lock()
	defer t.mu.Unlock()
	return t.encoded
}
