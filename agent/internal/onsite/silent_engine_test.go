package onsite

import (
	"context"
	"crypto/sha256"
	"net/http"
	"net/http/httptest"
	"sync/atomic"
	"testing"
	"time"

	"comfreyrelay.example/platform"
	"comfreyrelay.example/platform/platformtest"
	"comfreyrelay.example/relay/wire"
)

// hangTimeout is the time after which a call counts as one that waits for good.
const hangTimeout = 30 * time.Second

// Guards against an agent that never fetches weights again because the answer of its engine to one call
// was lost on a connection that went silent.
func TestCallOnSilentConnectionToEngineEnds(t *testing.T) {
	chunk := platformtest.Chunks(2, 1, testSize)[0]
	sum := sha256.Sum256(chunk)
	for _, test := range []struct {
		name, silent string // silent is the call whose first answer never arrives
		call         func(ctx context.Context, s *stage) error
	}{
		{"scan lists", http.MethodGet, func(ctx context.Context, s *stage) error {
			_, err := s.scan(ctx)
			return err
		}},
		{"put stages", http.MethodPut, func(ctx context.Context, s *stage) error { return s.put(ctx, sum[:], chunk) }},
		{"flush stages", http.MethodPut, func(ctx context.Context, s *stage) error {
			if err := s.memory.addPending(sum, chunk); err != nil {
				return err
			}
			return s.flush(ctx)
		}},
		{"verification reads", http.MethodGet, func(ctx context.Context, s *stage) error {
			s.recordStaged(0, sum)
			_, err := s.readBack(ctx, sum[:])
			return err
		}},
	} {
		t.Run(test.name, func(t *testing.T) {
			t.Parallel()
			engine := platformtest.NewEngine(testModel, 1, nil)
			var calls atomic.Int32
			silent := make(chan struct{})
			server := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
				if r.Method == test.silent && calls.Add(1) == 1 {
					<-silent
					return
				}
				engine.ServeHTTP(w, r)
			}))
			defer server.Close()
			defer close(silent)
			guidance := newGuidanceStore()
			guidance.receive(time.Now(), &wire.Guidance{Wanted: []*wire.WantedWeights{{Model: testModel, Version: 2}}})
			stage := newStage(platform.NewEngine(server.URL, newEngineHTTPClient()), guidance, 2*testSize)
			stage.manifest = func() *wire.Manifest { return &wire.Manifest{ChunkHashes: [][]byte{sum[:]}} }
			ctx, cancel := context.WithTimeout(t.Context(), hangTimeout)
			defer cancel()
			if err := test.call(ctx, stage); err == nil || ctx.Err() != nil {
				t.Fatalf("got error %v, context %v; want an error of the call alone", err, ctx.Err())
			}
			if err := stage.put(ctx, sum[:], chunk); err != nil {
				t.Errorf("the next call failed: %v", err)
			}
		})
	}
}
