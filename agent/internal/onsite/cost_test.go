package onsite

import (
	"context"
	"log/slog"
	"net/http"
	"net/http/httptest"
	"testing"

	"github.com/jonboulle/clockwork"

	"comfreyrelay.example/platform"
	"comfreyrelay.example/platform/platformtest"
)

// BenchmarkPoll measures what an agent spends on one look at its engine, of which it
// takes up to 33 a second; the engine's part on loopback is in it.
func BenchmarkPoll(b *testing.B) {
	engine := platformtest.NewEngine(testModel, 1, nil)
	host := httptest.NewServer(engine)
	defer host.Close()
	local := &http.Client{Transport: &http.Transport{MaxIdleConnsPerHost: 4, DisableCompression: true}}
	looks := newWatch(platform.NewEngine(host.URL, local), clockwork.NewRealClock(), slog.New(slog.DiscardHandler))
	b.ReportAllocs()
	for b.Loop() {
		looks.poll(context.Background())
	}
}
