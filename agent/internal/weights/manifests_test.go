package weights

import (
	"context"
	"testing"
	"time"

	"github.com/jonboulle/clockwork"
)

// Symptom: hosts begin to fetch a version a second after it was named. Sequence:
// all hosts hear of it at once; two draw its manifest from the origin; the others
// ask them too early, are told that they have none, and ask others that have none
// either. Cause: a host that will have the manifest shortly said that it lacks it.
func TestManifestIsWaitedForWhereItIsOnItsWay(t *testing.T) {
	clock := clockwork.NewFakeClock()
	trans := newTransfer(&Manager{cfg: Config{Clock: clock}}, "v", Policy{})
	got := make(chan []byte, 1)
	go func() { got <- trans.awaitManifest(context.Background()) }()
	if err := clock.BlockUntilContext(t.Context(), 1); err != nil {
		t.Fatal(err)
	}
	trans.mu.Lock()
	trans.encoded = []byte("manifest")
	close(trans.known)
	trans.mu.Unlock()
	if text := string(<-got); text != "manifest" {
		t.Errorf("got %q, want the manifest that came meanwhile", text)
	}
}

func TestManifestThatDoesNotComeIsNotWaitedForLong(t *testing.T) {
	clock := clockwork.NewFakeClock()
	trans := newTransfer(&Manager{cfg: Config{Clock: clock}}, "v", Policy{})
	got := make(chan []byte, 1)
	go func() { got <- trans.awaitManifest(context.Background()) }()
	if err := clock.BlockUntilContext(t.Context(), 1); err != nil {
		t.Fatal(err)
	}
	clock.Advance(manifestHold)
	select {
	case text := <-got:
		if text != nil {
			t.Errorf("got %q, want nothing", text)
		}
	case <-time.After(10 * time.Second):
		t.Error("still waits after manifestHold")
	}
}
