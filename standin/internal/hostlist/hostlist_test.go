package hostlist

import (
	"encoding/json"
	"net/http"
	"net/http/httptest"
	"strings"
	"testing"
	"time"

	"github.com/jonboulle/clockwork"
)

func call(t *testing.T, handler http.Handler, method, path, body string) *httptest.ResponseRecorder {
	t.Helper()
	recorder := httptest.NewRecorder()
	handler.ServeHTTP(recorder, httptest.NewRequest(method, path, strings.NewReader(body)))
	return recorder
}

func wantHosts(t *testing.T, handler http.Handler, want string) {
	t.Helper()
	var list List
	if err := json.Unmarshal(call(t, handler, http.MethodGet, "/hosts", "").Body.Bytes(), &list); err != nil {
		t.Fatal(err)
	}
	var listed []string
	for _, host := range list.Hosts {
		listed = append(listed, host.ID+"="+host.State)
	}
	if got := strings.Join(listed, " "); got != want {
		t.Errorf("got hosts %q, want %q", got, want)
	}
}

// TestLagAndFaults checks that changes become visible after the lag and in order,
// and that faulty answers last only as long as their setting.
func TestLagAndFaults(t *testing.T) {
	clock := clockwork.NewFakeClock()
	handler := New(clock, []Host{{ID: "a", State: "live"}, {ID: "b", State: "live"}}, time.Minute).Handler()
	call(t, handler, http.MethodPut, "/hosts/a", `{"state":"leaving"}`)
	call(t, handler, http.MethodPost, "/faults", `{"lagMillis":0}`)
	call(t, handler, http.MethodDelete, "/hosts/a", "")
	wantHosts(t, handler, "a=live b=live")
	clock.Advance(time.Minute)
	wantHosts(t, handler, "b=live")
	call(t, handler, http.MethodPost, "/faults", `{"wrong":["b"]}`)
	wantHosts(t, handler, "")
	call(t, handler, http.MethodPost, "/faults", `{"wrong":[],"empty":true}`)
	wantHosts(t, handler, "")
	call(t, handler, http.MethodPost, "/faults", `{"empty":false,"down":true}`)
	if got := call(t, handler, http.MethodGet, "/hosts", "").Code; got != http.StatusServiceUnavailable {
		t.Errorf("got status %d, want %d", got, http.StatusServiceUnavailable)
	}
	if got := call(t, handler, http.MethodPost, "/faults", `{"nonsense":1}`).Code; got != http.StatusBadRequest {
		t.Errorf("got status %d for an unknown setting, want %d", got, http.StatusBadRequest)
	}
}
