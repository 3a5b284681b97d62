package load

import (
	"log/slog"
	"net/http"
	"net/http/httptest"
	"strings"
	"testing"
	"time"

	"github.com/jonboulle/clockwork"
)

func TestControl(t *testing.T) {
	options := planOptions()
	options.Entries, options.Deadline, options.MaxInFlight, options.Versions = []string{"seed:1"}, time.Second, 1, []string{"v1"}
	clock := clockwork.NewFakeClock()
	caller, err := New(options, clock, slog.New(slog.DiscardHandler), nil)
	if err != nil {
		t.Fatalf("options: got %v, want none", err)
	}
	stopped := false
	handler := caller.Control(func() { stopped = true })
	post := func(path, body string) int {
		recorder := httptest.NewRecorder()
		handler.ServeHTTP(recorder, httptest.NewRequest(http.MethodPost, path, strings.NewReader(body)))
		return recorder.Code
	}
	if got := post("/versions", `{"add":["v2"],"remove":["v1"],"addAdapters":{"label":"x1"}}`); got != http.StatusOK {
		t.Errorf("versions: got %d, want 200", got)
	}
	now := clock.Now()
	if !caller.versions.allowed("v2", now) || caller.versions.allowed("v1", now) || !caller.versions.allowed("v1", now.Add(-time.Second)) {
		t.Error("got other versions, want v2, and v1 for requests sent before")
	}
	if got := caller.versions.ofAdapter("label"); len(got) != 1 || got[0] != "x1" {
		t.Errorf("adapter: got %v, want [x1]", got)
	}
	if got := post("/versions", `[`); got != http.StatusBadRequest {
		t.Errorf("no JSON: got %d, want 400", got)
	}
	if post("/stop", ""); !stopped {
		t.Error("stop: got nothing, want it stopped")
	}
}
