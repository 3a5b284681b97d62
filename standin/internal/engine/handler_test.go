package engine

import (
	"bytes"
	"context"
	"encoding/hex"
	"io"
	"net/http"
	"net/http/httptest"
	"strings"
	"testing"
	"time"

	"github.com/jonboulle/clockwork"
	"github.com/zeebo/blake3"

	"comfreyrelay.example/standin/internal/answer"
)

// chunk is the only chunk of the version that these tests load.
const chunk = "weights"

func newServer(t *testing.T, options Options) (*Engine, string) {
	t.Helper()
	options.Slots, options.CachePrefixes, options.StoreBytes = 2, 2, 16
	options.Clock = clockwork.NewRealClock()
	engine := New(options)
	server := httptest.NewServer(engine.Handler())
	t.Cleanup(server.Close)
	return engine, server.URL
}

func hashOf(text string) string {
	sum := blake3.Sum256([]byte(text))
	return hex.EncodeToString(sum[:])
}

func call(t *testing.T, method, url, body string) (int, string) {
	t.Helper()
	request, err := http.NewRequestWithContext(t.Context(), method, url, strings.NewReader(body))
	if err != nil {
		t.Fatal(err)
	}
	response, err := http.DefaultClient.Do(request)
	if err != nil {
		t.Fatalf("%s %s: got %v, want a response", method, url, err)
	}
	defer response.Body.Close()
	text, err := io.ReadAll(response.Body)
	if err != nil {
		t.Fatalf("%s %s: got %v, want a whole body", method, url, err)
	}
	return response.StatusCode, string(text)
}

func load(t *testing.T, url, version string) {
	t.Helper()
	call(t, http.MethodPut, url+"/chunks/"+hashOf(chunk), chunk)
	order := `{"fence":5,"order":"load","model":"parcel","version":"` + version + `","chunkHashes":["` + hashOf(chunk) + `"]}`
	if status, body := call(t, http.MethodPost, url+"/orders", order); status != http.StatusOK {
		t.Fatalf("load: got %d %s, want 200", status, body)
	}
}

func TestHandlerStatuses(t *testing.T) {
	_, url := newServer(t, Options{ChecksFencing: true})
	load(t, url, "v1")
	tests := []struct {
		name, method, path, body string
		want                     int
		wantBody                 string
	}{
		{"corrupt chunk", http.MethodPut, "/chunks/" + hashOf(chunk), "other", http.StatusUnprocessableEntity, "do not match"},
		{"store full", http.MethodPut, "/chunks/" + hashOf("0123456789"), "0123456789", http.StatusServiceUnavailable, "full"},
		{"chunk", http.MethodGet, "/chunks/" + hashOf(chunk), "", http.StatusOK, chunk},
		{"chunks", http.MethodGet, "/chunks", "", http.StatusOK, hashOf(chunk)},
		{"no such chunk", http.MethodGet, "/chunks/" + hashOf("none"), "", http.StatusNotFound, "not stored"},
		{"old fence", http.MethodPost, "/orders", `{"fence":4,"order":"unload"}`, http.StatusConflict, `{"fence":5}`},
		{"missing chunk", http.MethodPost, "/orders", `{"fence":5,"order":"load","chunkHashes":["00"]}`, http.StatusUnprocessableEntity, "missing"},
		{"no chunks", http.MethodPost, "/orders", `{"fence":5,"order":"load"}`, http.StatusUnprocessableEntity, "lists no chunks"},
		{"unknown order", http.MethodPost, "/orders", `{"fence":5,"order":"dance"}`, http.StatusBadRequest, "dance"},
		{"not loaded", http.MethodPost, "/generate", `{"requestId":"a","model":"coat","maxTokens":1}`, http.StatusConflict, "not loaded"},
		{"no id", http.MethodPost, "/generate", `{"model":"parcel","maxTokens":1}`, http.StatusBadRequest, "lacks an id"},
		{"no JSON", http.MethodPost, "/generate", `{`, http.StatusBadRequest, "JSON"},
		{"nothing to cancel", http.MethodPost, "/cancel", `{"requestId":"a"}`, http.StatusOK, `"cancelled":false`},
		{"no cache to export", http.MethodGet, "/kvcache/a", "", http.StatusNotFound, "is not running"},
		{"cache of another version", http.MethodPut, "/kvcache/a", `{"version":"v0"}`, http.StatusConflict, "v0"},
		{"cache", http.MethodPut, "/kvcache/a", `{"version":"v1","prompt":"p"}`, http.StatusOK, ""},
		{"events", http.MethodGet, "/cache/events?after=0", "", http.StatusOK, `"next":1`},
	}
	for _, test := range tests {
		status, body := call(t, test.method, url+test.path, test.body)
		if status != test.want || !strings.Contains(body, test.wantBody) {
			t.Errorf("%s: got %d %q, want %d and %q", test.name, status, body, test.want, test.wantBody)
		}
	}
}

func TestGenerateStream(t *testing.T) {
	_, url := newServer(t, Options{})
	load(t, url, "v1")
	status, got := call(t, http.MethodPost, url+"/generate", `{"requestId":"a","model":"parcel","prompt":"p","maxTokens":2}`)
	want := "event: begin\ndata: {\"version\":\"v1\"}\n\n" +
		"event: token\ndata: {\"i\":0,\"text\":\"" + answer.Token("v1", "", "p", 0) + "\"}\n\n" +
		"event: token\ndata: {\"i\":1,\"text\":\"" + answer.Token("v1", "", "p", 1) + "\"}\n\n" +
		"event: end\ndata: {\"version\":\"v1\",\"count\":2}\n\n"
	if status != http.StatusOK || got != want {
		t.Errorf("got %d %q, want 200 %q", status, got, want)
	}
}

// Guards against a run that outlives its client and occupies a slot, and against
// a stream that closes cleanly, which makes a truncated answer look complete. A
// long generation begins; then the client disconnects or an order unloads the
// weights. The stream must end with the run, and only a broken connection tells
// the reader that no end event follows.
func TestGenerateIsCut(t *testing.T) {
	tests := []struct {
		name string
		cut  func(engine *Engine, leave context.CancelFunc)
		want func(totals Totals) int
	}{
		{"client goes", func(_ *Engine, leave context.CancelFunc) { leave() }, func(totals Totals) int { return totals.Cancelled }},
		{"cancel", func(engine *Engine, _ context.CancelFunc) { engine.Cancel("a") }, func(totals Totals) int { return totals.Cancelled }},
		{"unload", func(engine *Engine, _ context.CancelFunc) { _ = engine.Obey(Order{Fence: 9, Order: orderUnload}) }, func(totals Totals) int { return totals.CutOff }},
		{"host dies", func(engine *Engine, _ context.CancelFunc) { engine.SetFaults(Faults{Dead: true}) }, func(totals Totals) int { return totals.Broken }},
	}
	for _, test := range tests {
		t.Run(test.name, func(t *testing.T) {
			engine, url := newServer(t, Options{FirstTokenTime: time.Hour})
			load(t, url, "v1")
			ctx, leave := context.WithCancel(t.Context())
			defer leave()
			body := strings.NewReader(`{"requestId":"a","model":"parcel","prompt":"p","maxTokens":2}`)
			request, err := http.NewRequestWithContext(ctx, http.MethodPost, url+"/generate", body)
			if err != nil {
				t.Fatal(err)
			}
			response, err := http.DefaultClient.Do(request)
			if err != nil {
				t.Fatalf("got %v, want a response", err)
			}
			defer response.Body.Close()
			begin := make([]byte, len("event: begin"))
			if _, err := io.ReadFull(response.Body, begin); err != nil {
				t.Fatalf("begin: got %v, want none", err)
			}
			test.cut(engine, leave)
			rest, err := io.ReadAll(response.Body)
			if err == nil || bytes.Contains(rest, []byte("event: end")) {
				t.Errorf("got %q and no error, want a broken stream", rest)
			}
			waitFor(t, func() bool { return test.want(engine.Ledger(false).Totals) == 1 })
			if test.name == "host dies" {
				expectDead(t, url)
			}
		})
	}
}

func expectDead(t *testing.T, url string) {
	t.Helper()
	response, err := http.Get(url + "/status")
	if err == nil {
		response.Body.Close()
		t.Errorf("dead host: got %s, want a broken connection", response.Status)
	}
	if status, _ := call(t, http.MethodPost, url+"/faults", `{}`); status != http.StatusOK {
		t.Errorf("faults of a dead host: got %d, want 200", status)
	}
}

// waitFor polls until a condition set by another goroutine holds.
func waitFor(t *testing.T, done func() bool) {
	t.Helper()
	const patience = 10 * time.Second
	for start := time.Now(); !done(); time.Sleep(time.Millisecond) {
		if time.Since(start) > patience {
			t.Fatal("got nothing in time, want it done")
		}
	}
}

func TestPoolKeepsEqualChunksOnce(t *testing.T) {
	pool := NewPool()
	one, other := newChunkStore(pool, 16), newChunkStore(pool, 16)
	for _, store := range []*chunkStore{one, other} {
		if err := store.put(hashOf(chunk), []byte(chunk)); err != nil {
			t.Fatalf("put: got %v, want none", err)
		}
	}
	if got := len(pool.chunks); got != 1 {
		t.Errorf("chunks in the pool: got %d, want 1", got)
	}
	one.remove(hashOf(chunk))
	if _, held := one.get(hashOf(chunk)); held {
		t.Error("removed chunk: got it, want none")
	}
	if got, held := other.get(hashOf(chunk)); !held || string(got) != chunk {
		t.Errorf("the other engine's chunk: got %q, want %q", got, chunk)
	}
	other.removeAll()
	if got := len(pool.chunks); got != 0 {
		t.Errorf("chunks in the pool: got %d, want 0", got)
	}
}

func TestLedgerForgetsTheOldest(t *testing.T) {
	kept := newLedger()
	for i := range maxAccounts + 1 {
		kept.begin(answer.Token("", "", "", i), "v1", "", false)
	}
	got := kept.copy(true)
	if len(got.RunsByID) != maxAccounts || got.Forgotten != 1 || got.Totals.Begun != maxAccounts+1 {
		t.Errorf("got %d ids, %d forgotten, %d begun; want %d, 1, %d", len(got.RunsByID), got.Forgotten, got.Totals.Begun, maxAccounts, maxAccounts+1)
	}
	if _, known := got.RunsByID[answer.Token("", "", "", 0)]; known {
		t.Error("the oldest id: got it, want it forgotten")
	}
}
