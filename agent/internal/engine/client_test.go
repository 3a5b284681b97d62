package engine

import (
	"errors"
	"io"
	"net/http"
	"net/http/httptest"
	"strings"
	"sync/atomic"
	"testing"

	"comfreyrelay.example/relay/failure"
)

// FuzzStream reads arbitrary event streams. A stream must end with an error other
// than io.EOF, and only known kinds of events may be returned.
func FuzzStream(f *testing.F) {
	f.Add("event: begin\ndata: {\"version\":\"v\"}\n\nevent: token\ndata: {\"i\":0,\"text\":\"a\"}\n\nevent: end\ndata: {\"version\":\"v\",\"count\":1}\n\n")
	f.Add("event: begin\r\ndata:{}\r\n\r\n")
	f.Add(": comment\n\nevent: other\ndata: {}\n\n")
	f.Add("data: {\"i\":-1}\n\n")
	f.Add(strings.Repeat("x", 70000))
	f.Fuzz(func(t *testing.T, text string) {
		stream := NewStream(io.NopCloser(strings.NewReader(text)))
		for range len(text) + 1 {
			event, err := stream.Next()
			if err != nil {
				if errors.Is(err, io.EOF) && !errors.Is(err, io.ErrUnexpectedEOF) {
					t.Fatal("an incomplete stream ended with io.EOF")
				}
				return
			}
			if event.Kind != EventBegin && event.Kind != EventToken && event.Kind != EventEnd {
				t.Fatalf("got an event of kind %q", event.Kind)
			}
		}
		t.Fatal("more events than bytes")
	})
}

// Guards against a request that is not repeatable running twice. The engine reads it
// and closes the connection without an answer, and the HTTP client must not retry
// on its own.
func TestNeverSendsRequestTwice(t *testing.T) {
	var requests atomic.Int32
	server := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		_, _ = io.Copy(io.Discard, r.Body)
		if r.URL.Path == "/status" {
			_, _ = w.Write([]byte("{}"))
			return
		}
		requests.Add(1)
		conn, _, err := w.(http.Hijacker).Hijack()
		if err == nil {
			_ = conn.Close()
		}
	}))
	defer server.Close()
	client := New(server.URL)
	for _, atMostOnce := range []bool{true, false} {
		requests.Store(0)
		if _, err := client.Status(t.Context()); err != nil { // leaves an idle connection that may be reused
			t.Fatal(err)
		}
		_, err := client.Generate(t.Context(), &GenerateRequest{RequestID: "r1"}, atMostOnce)
		if got, want := failure.KindOf(err), failure.Ambiguous; err == nil || got != want {
			t.Errorf("atMostOnce %v: got %v, want kind %s", atMostOnce, err, want)
		}
		if _, err := client.Call(t.Context(), "r2", nil, atMostOnce); err == nil {
			t.Errorf("atMostOnce %v: got an answer of a broken call", atMostOnce)
		}
		if got, want := requests.Load(), int32(2); got != want {
			t.Errorf("atMostOnce %v: the endpoint saw %d requests, want %d", atMostOnce, got, want)
		}
	}
}

// Guards against a request running twice because the client follows a 307 or 308
// redirect, which repeats the body.
func TestDoesNotFollowRedirect(t *testing.T) {
	var requests atomic.Int32
	server := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, _ *http.Request) {
		requests.Add(1)
		w.Header().Set("Location", "/again")
		w.WriteHeader(http.StatusPermanentRedirect)
	}))
	defer server.Close()
	client := New(server.URL)
	if _, err := client.Call(t.Context(), "r1", nil, false); err == nil {
		t.Error("got an answer from a redirect")
	}
	if got, want := requests.Load(), int32(1); got != want {
		t.Errorf("the endpoint saw %d requests, want %d", got, want)
	}
}

func TestOrderErrors(t *testing.T) {
	for _, tc := range []struct {
		status  int
		body    string
		kind    failure.Kind
		current uint64
	}{
		{http.StatusConflict, `{"fence":12}`, failure.Stale, 12},
		{http.StatusConflict, `nonsense`, failure.Stale, 0},
		{http.StatusUnprocessableEntity, ``, failure.Invalid, 0},
		{http.StatusInternalServerError, ``, failure.Ambiguous, 0},
	} {
		server := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, _ *http.Request) {
			w.WriteHeader(tc.status)
			_, _ = w.Write([]byte(tc.body))
		}))
		current, err := New(server.URL).Order(t.Context(), &Order{Fence: 7, Kind: OrderLoad})
		if got := failure.KindOf(err); err == nil || got != tc.kind || current != tc.current {
			t.Errorf("status %d: got %v, fence %d, want kind %s, fence %d", tc.status, err, current, tc.kind, tc.current)
		}
		server.Close()
	}
}
