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
	manifestOwners = 3
	// manifestPatience is how long the others wait before they ask the origin.
	manifestPatience = 3 * time.Second
	manifestTimeout  = 2 * time.Second
	manifestRetry    = 75 * time.Millisecond
	// manifestHold is how long a host that fetches the manifest itself lets
	// another wait for it: as long as that one waits, so that the other has it as
	// soon as this one.
	manifestHold = manifestTimeout
	// manifestAsks is how many peers a host asks at once. Those that have no manifest
	// ask others in turn, so that it comes from whoever has it over all who wait, at
	// once; with one each, few chains of hosts that wait lead there, and one host
	// that answers nothing ends a chain.
	manifestAsks = 3
	// originRetry and maxOriginRetry bound the pause after the origin failed,
	// the latter where the configuration does not say.
	originRetry    = 500 * time.Millisecond
	maxOriginRetry = 15 * time.Second
)

// fetchManifest gets the manifest from a peer or the origin and checks it
// against the version, until that succeeds or ctx is done.
func (t *transfer) fetchManifest(ctx context.Context) error {
	began := t.now()
	pause := min(originRetry, t.mgr.cfg.MaxBackoff/2)
	nextDraw := began
	for {
		if t.drawsManifest(began) && !t.now().Before(nextDraw) {
			if t.manifestFromOrigin(ctx) == nil {
				return nil
			}
			nextDraw = t.now().Add(pause + rand.N(pause))
			// All hosts wait for a manifest, and few draw it: they ask more often than
			// those who draw chunks.
			pause = min(2*pause, t.mgr.cfg.MaxBackoff/2)
		}
		patience := manifestTimeout
		if t.drawsManifest(began) {
			patience = min(patience, max(manifestRetry, nextDraw.Sub(t.now())))
		}
		if t.manifestFromPeers(ctx, patience) == nil {
			return nil
		}
		if err := t.mgr.sleep(ctx, manifestRetry+rand.N(manifestRetry)); err != nil {
			return err
		}
	}
}

// manifestKey is what hosts are ranked for by their right to draw the manifest.
func (t *transfer) manifestKey() string { return "manifest/" + t.version }

// peerIDs returns the ids of the other hosts.
func (t *transfer) peerIDs() []string {
	peers := t.mgr.peers()
	ids := make([]string, 0, len(peers))
	for _, pee := range peers {
		ids = append(ids, pee.ID)
	}
	return ids
}

// drawsManifest reports whether this host may ask the origin: an owner at once,
// the others by rank after a while, so that they do not come together.
func (t *transfer) drawsManifest(began time.Time) bool {
	rank := rendezvous.Rank(t.manifestKey(), t.mgr.cfg.Self.GetId(), t.peerIDs())
	if rank < manifestOwners {
		return true
	}
	wait := manifestPatience * time.Duration(rank) / manifestOwners
	return t.now().Sub(began) >= wait
}

func (t *transfer) manifestFromOrigin(ctx context.Context) error {
	ctx, cancel := context.WithTimeout(ctx, manifestTimeout)
	defer cancel()
	encoded, err := t.drawManifest(ctx)
	if err != nil {
		t.setProblem("the manifest cannot be drawn from the origin: " + err.Error())
		return err
	}
	t.mgr.originBytes.Add(uint64(len(encoded)))
	return t.acceptManifest(encoded)
}

func (t *transfer) drawManifest(ctx context.Context) ([]byte, error) {
	if draw := t.mgr.cfg.Source.Manifest; draw != nil {
		return draw(ctx, t.version)
	}
	encoded, err := t.mgr.fromOrigin(ctx, "/manifests/"+t.version, maxManifestBytes)
	if err != nil {
		return nil, err
	}
	return encoded, nil
}

// acceptManifest begins the transfer if the bytes are the version's manifest.
func (t *transfer) acceptManifest(encoded []byte) error {
	man, err := t.mgr.cfg.Source.Decode(encoded, t.version)
	if err == nil {
		t.begin(man, encoded)
		t.mgr.noteChange()
		return nil
	}
	t.mgr.cfg.Log.Warn("a manifest was refused", "version", t.version, "error", err)
	t.mu.Lock()
	t.failed, t.problem = true, err.Error()
	t.mu.Unlock()
	t.mgr.noteChange()
	return err
}

// manifestFromPeers asks a few peers at once, others as these fail, until one sends the
// manifest or patience ends. A peer may let this host wait: one that draws the manifest itself
// has no longer patience than until its next draw.
func (t *transfer) manifestFromPeers(ctx context.Context, patience time.Duration) error {
	ctx, cancel := context.WithTimeout(ctx, patience)
	defer cancel()
	var asks sync.WaitGroup
	defer asks.Wait()
	defer cancel()
	found := make(chan *manifestFound, manifestAsks)
	for i := range manifestAsks {
		asks.Go(func() {
			if one := t.seekManifest(ctx, i == 0); one != nil {
				found <- one
			}
		})
	}
	select {
	case one := <-found:
		t.mgr.peerBytes.Add(uint64(len(one.encoded)))
		t.begin(one.man, one.encoded)
		t.mgr.noteChange()
		return nil
	case <-ctx.Done():
		return ctx.Err()
	}
}

// manifestFound is a manifest that is the version's.
type manifestFound struct {
	man     *wire.Manifest
	encoded []byte
}

// seekManifest asks one peer after the other until ctx is done, every second time an owner if
// it is to; nil: none sent the manifest.
func (t *transfer) seekManifest(ctx context.Context, owners bool) *manifestFound {
	for {
		if id := t.manifestPeer(owners && rand.IntN(2) == 0); id != "" {
			if found := t.askManifest(ctx, id); found != nil {
				return found
			}
		}
		if t.mgr.sleep(ctx, manifestRetry+rand.N(manifestRetry)) != nil {
			return nil
		}
	}
}

// manifestPeer returns a peer to ask, an owner if one is wanted; none where no peer is known.
func (t *transfer) manifestPeer(owner bool) string {
	peers := t.peerIDs()
	if owner {
		peers = rendezvous.Top(t.manifestKey(), peers, manifestOwners)
	}
	if len(peers) == 0 {
		return ""
	}
	return peers[rand.IntN(len(peers))]
}

// askManifest asks one peer; nil: it sent none that is the version's.
func (t *transfer) askManifest(ctx context.Context, id string) *manifestFound {
	req := &wire.ChunkRequest{From: t.mgr.cfg.Self, Version: t.version, Index: manifestIndex}
	encoded, fetchErr := t.mgr.fromPeer(ctx, id, req, maxManifestBytes, func(*wire.ChunkData) {})
	if fetchErr != nil {
		t.mgr.cfg.Log.Debug("a peer sent no manifest", "version", t.version, "peer", id, "error", fetchErr)
		return nil
	}
	man, err := t.mgr.cfg.Source.Decode(encoded, t.version)
	if err != nil {
		t.mgr.cfg.Log.Warn("a peer sent a wrong manifest", "version", t.version, "peer", id, "error", err)
		return nil
	}
	return &manifestFound{man: man, encoded: encoded}
}

// awaitManifest returns the manifest's bytes for a peer, which may wait a little
// for them; nil where they did not come.
func (t *transfer) awaitManifest(ctx context.Context) []byte {
	select {
	case <-t.known:
	case <-ctx.Done():
	case <-t.mgr.cfg.Clock.After(manifestHold):
	}
	return t.encodedManifest()
}

// encodedManifest returns the manifest's bytes for a peer; nil while unknown.
func (t *transfer) encodedManifest() []byte {
	t.mu.Lock()
	defer t.mu.Unlock()
	return t.encoded
}
