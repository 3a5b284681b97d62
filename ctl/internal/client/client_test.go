package client_test

import (
	"encoding/json"
	"net/http"
	"net/http/httptest"
	"strings"
	"sync"
	"testing"
	"time"

	"github.com/jonboulle/clockwork"

	"comfreyrelay.example/ctl/internal/client"
	"comfreyrelay.example/relay/failure"
)

// Guards against reporting a change as failed although it is in force: the entry
// accepts the submission, its host dies before sending the reply, and the client
// takes the broken connection for a rejection.
func TestSubmitRetriesAfterLostReply(t *testing.T) {
	var mu sync.Mutex
	ids := map[string]int{}
	server := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		var got client.Submission
		if err := json.NewDecoder(r.Body).Decode(&got); err != nil {
			t.Error(err)
		}
		mu.Lock()
		ids[got.SubmissionID]++
		first := ids[got.SubmissionID] == 1
		mu.Unlock()
		if first {
			panic(http.ErrAbortHandler) // the connection breaks without a reply
		}
		_, _ = w.Write([]byte(`{"revision":8}`))
	}))
	defer server.Close()
	address := strings.TrimPrefix(server.URL, "http://")
	apiClient, err := client.New(client.Options{Entries: []string{address, address}, Timeout: 10 * time.Second, Clock: clockwork.NewFakeClock()})
	if err != nil {
		t.Fatal(err)
	}
	revision, err := apiClient.Submit(t.Context(), &client.Submission{BaseRevision: 7, SubmissionID: "one", Document: []byte("{}")})
	if err != nil {
		t.Fatal(err)
	}
	if got, want := revision, uint32(8); got != want {
		t.Errorf("got revision %d, want %d", got, want)
	}
	if got, want := ids["one"], 2; got != want || len(ids) != 1 {
		t.Errorf("got %d tries under %d ids, want %d under one", got, len(ids), want)
	}
}

// Guards against reporting that nothing was changed because of a status without the entry's reason, such as
// that of a proxy which lost the entry's reply: the change may be in force.
func TestStatusWithoutReasonIsNoProofThatNothingChanged(t *testing.T) {
	for _, status := range []int{408, 421, 429, 502, 503, 504} {
		server := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, _ *http.Request) { w.WriteHeader(status) }))
		err := submitOnce(t, strings.TrimPrefix(server.URL, "http://"))
		if got, want := failure.KindOf(err), failure.Ambiguous; got != want {
			t.Errorf("status %d: got %v (%v), want %v", status, got, err, want)
		}
		server.Close()
	}
}

// A change that no entry could receive is reported as not made, not as ambiguous.
func TestRefusedConnectionIsUnavailable(t *testing.T) {
	server := httptest.NewServer(http.NotFoundHandler())
	address := strings.TrimPrefix(server.URL, "http://")
	server.Close()
	if got, want := failure.KindOf(submitOnce(t, address)), failure.Unavailable; got != want {
		t.Errorf("got %v, want %v", got, want)
	}
}

// submitOnce submits a document to one entry and returns the error after all rounds.
func submitOnce(t *testing.T, address string) error {
	t.Helper()
	clock := clockwork.NewFakeClock()
	apiClient, err := client.New(client.Options{Entries: []string{address}, Timeout: 10 * time.Second, Clock: clock})
	if err != nil {
		t.Fatal(err)
	}
	go func() {
		for range 2 {
			if clock.BlockUntilContext(t.Context(), 1) != nil {
				return
			}
			clock.Advance(time.Minute)
		}
	}()
	_, err = apiClient.Submit(t.Context(), &client.Submission{SubmissionID: "one", Document: []byte("{}")})
	return err
}
