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
	// manifestIndex as the index of a ChunkRequest requests the encoded manifest.
	manifestIndex = math.MaxUint32
	// maxManifestBytes bounds an encoded manifest: 65,536 chunk hashes of 32 bytes
	// and 64 KiB for the rest.
	maxManifestBytes = 2<<20 + 64<<10
	// manifestOwnerCount is how many hosts, the owners, fetch the manifest from the
	// origin without delay. The others ask them and one another, so that the origin
	// does not send the manifest to each host.
	manifestOwnerCount = 3
	// manifestOriginDelay scales, by rank, how long the other hosts wait before they
	// ask the origin as well.
	manifestOriginDelay    = 3 * time.Second
	manifestRequestTimeout = 2 * time.Second
	manifestRetryDelay     = 75 * time.Millisecond
	// manifestWaitTimeout is how long a host that has no manifest yet keeps a peer's
	// request for it open. It equals the peer's own timeout, so that the peer gets
	// the manifest as soon as this host has it.
	manifestWaitTimeout = manifestRequestTimeout
	// parallelManifestRequests is how many peers a host asks at once. Peers without
	// the manifest ask others in turn, so it reaches all waiting hosts at once through
	// chains of open requests. With one request for each host, few chains lead to a
	// host that has the manifest, and one host that does not answer breaks a chain.
	parallelManifestRequests = 3
	// initialOriginBackoff is the first pause after a failed request to the origin,
	// without jitter; maxOriginBackoff bounds the pause if Config.MaxBackoff is not set.
	initialOriginBackoff = 500 * time.Millisecond
	maxOriginBackoff     = 15 * time.Second
)

// fetchManifest fetches the manifest from a peer or the origin and verifies it
// against the version. It retries until that succeeds or ctx is done.
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
			// All hosts wait for the manifest and few request it from the origin, so
			// these retry more often than for chunks, with half the maximum backoff.
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

// manifestRankKey is the rendezvous key that ranks the hosts for fetching the manifest
// from the origin.
func (t *transfer) manifestRankKey() string { return "manifest/" + t.version }

// peerIDs returns the ids of the other known hosts.
func (t *transfer) peerIDs() []string {
	peers := t.mgr.peers()
	ids := make([]string, 0, len(peers))
	for _, p := range peers {
		ids = append(ids, p.ID)
	}
	return ids
}

// mayAskOriginForManifest reports whether this host may ask the origin: the owners at
// once, the others after a delay that grows with their rank, so that they do not all
// ask at the same time.
func (t *transfer) mayAskOriginForManifest(startedAt time.Time) bool {
	rank := rendezvous.Rank(t.manifestRankKey(), t.mgr.cfg.Self.GetId(), t.peerIDs())
	if rank < manifestOwnerCount {
		return true
	}
	wait := manifestOriginDelay * time.Duration(rank) / manifestOwnerCount
	return t.now().Sub(startedAt) >= wait
}

// fetchManifestFromOrigin fetches the manifest from the origin and starts the core
// with it.
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

// downloadManifest downloads the encoded manifest from Config.Source or the HTTP origin.
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

// acceptManifest starts the core if the origin's bytes are the version's manifest;
// otherwise the version is marked as failed.
func (t *transfer) acceptManifest(encoded []byte) error {
	man, err := t.mgr.cfg.Source.Decode(encoded, t.version)
	if err == nil {
		t.startCore(man, encoded)
		t.mgr.notifyChange()
		return nil
	}
	t.mgr.cfg.Log.Warn("the manifest from the origin was rejected", "version", t.version, "error", err)
	t.mu.Lock()
	t.failed, t.problem = true, err.Error()
	t.mu.Unlock()
	t.mgr.notifyChange()
	return err
}

// fetchManifestFromPeers asks several peers at once, and others when these fail, until
// one sends the manifest or the timeout expires. A peer may keep the request open, so a
// host that may ask the origin passes a timeout that ends with its next attempt there.
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

// verifiedManifest is a manifest that matches the version, decoded and encoded.
type verifiedManifest struct {
	man     *wire.Manifest
	encoded []byte
}

// askPeersForManifest asks one peer after the other until one sends the manifest; nil
// once ctx is done. With preferOwners it asks an owner in half of the cases.
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

// pickManifestPeer returns the id of a random peer, or of a random owner; empty if no
// peer is known.
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

// requestManifest asks one peer for the manifest; nil if it sends none that matches the
// version.
func (t *transfer) requestManifest(ctx context.Context, id string) *verifiedManifest {
	req := &wire.ChunkRequest{From: t.mgr.cfg.Self, Version: t.version, Index: manifestIndex}
	encoded, fetchErr := t.mgr.requestFromPeer(ctx, id, req, maxManifestBytes, func(*wire.ChunkData) {})
	if fetchErr != nil {
		t.mgr.cfg.Log.Debug("a peer sent no manifest", "version", t.version, "peer", id, "error", fetchErr)
		return nil
	}
	man, err := t.mgr.cfg.Source.Decode(encoded, t.version)
	if err != nil {
		t.mgr.cfg.Log.Warn("a peer sent a manifest that does not match the version", "version", t.version, "peer", id, "error", err)
		return nil
	}
	return &verifiedManifest{man: man, encoded: encoded}
}

// awaitManifest returns the encoded manifest for a peer, after waiting for it up to
// manifestWaitTimeout; nil if it is still unknown then.
func (t *transfer) awaitManifest(ctx context.Context) []byte {
	select {
	case <-t.manifestKnown:
	case <-ctx.Done():
	case <-t.mgr.cfg.Clock.After(manifestWaitTimeout):
	}
	return t.encodedManifest()
}

// encodedManifest returns the encoded manifest; nil while unknown.
func (t *transfer) encodedManifest() []byte {
	t.mu.Lock()
	defer t.mu.Unlock()
	return t.encoded
}
