package callers

import (
	"encoding/json"
	"io"
	"net/http"
	"testing"
)

// GET /v1/entries on a draining entry directs the caller to the other entry.
func TestEntriesSkipsDrainingEntry(t *testing.T) {
	deployment := newTestDeployment(t)
	first, second := deployment.addEntry("e1"), deployment.addEntry("e2")
	deployment.publish()
	first.srv.tracker.drain()
	req, err := http.NewRequest(http.MethodGet, first.http.URL+"/v1/entries", nil)
	if err != nil {
		t.Fatal(err)
	}
	req.Header.Set("Authorization", "Bearer "+testKey)
	got, err := http.DefaultClient.Do(req)
	if err != nil {
		t.Fatal(err)
	}
	defer got.Body.Close()
	raw, err := io.ReadAll(got.Body)
	if err != nil {
		t.Fatal(err)
	}
	var body entriesBody
	if err := json.Unmarshal(raw, &body); err != nil {
		t.Fatal(err)
	}
	if body.Use != second.node.GetCallersAddress() || body.Owner != second.node.GetIncarnation() {
		t.Errorf("got %s, want the entry that does not drain", raw)
	}
	if body.TTLSeconds != int(defaultTTL.Seconds()) {
		t.Errorf("got ttlSeconds %d, want %v", body.TTLSeconds, defaultTTL.Seconds())
	}
}
