package upstream

import (
	"net/http"
	"net/http/httptest"
	"strconv"
	"testing"
	"time"
)

// roundTrip sends a request with an ID to the server, returns its connection to the pool and returns the
// connection's number.
func roundTrip(t *testing.T, pool *Pool, server *httptest.Server, id string) uint64 {
	t.Helper()
	conn, err := pool.Get(t.Context(), Target{Address: server.Listener.Addr().String()}, id)
	if err != nil {
		t.Fatal(err)
	}
	req, err := http.NewRequest(http.MethodGet, server.URL, nil)
	if err != nil {
		t.Fatal(err)
	}
	if err := conn.Send(id, req, time.Now().Add(time.Minute)); err != nil {
		t.Fatal(err)
	}
	resp, err := conn.Receive(req)
	if err != nil {
		t.Fatal(err)
	}
	pool.Put(conn, resp, 0, maxIdle)
	return conn.Number()
}

// Guards against taking a late copy of the response to one send of a request for that to the next one.
func TestConnectionCarriesARequestOnce(t *testing.T) {
	server := httptest.NewServer(http.HandlerFunc(func(http.ResponseWriter, *http.Request) {}))
	defer server.Close()
	pool := NewPool(time.Now)
	for i, test := range []struct {
		id   string
		want uint64
	}{{"a", 1}, {"b", 1}, {"a", 2}, {"b", 2}, {"c", 2}, {"a", 3}} {
		if got := roundTrip(t, pool, server, test.id); got != test.want {
			t.Errorf("request %d with ID %s: got connection %d, want %d", i, test.id, got, test.want)
		}
	}
}

// Guards against connections whose list of request IDs grows without bound.
func TestConnectionCarriesALimitedNumberOfRequests(t *testing.T) {
	server := httptest.NewServer(http.HandlerFunc(func(http.ResponseWriter, *http.Request) {}))
	defer server.Close()
	pool := NewPool(time.Now)
	for i := range 2*maxRequests + 1 {
		if got, want := roundTrip(t, pool, server, strconv.Itoa(i)), uint64(1+i/maxRequests); got != want {
			t.Fatalf("request %d: got connection %d, want %d", i, got, want)
		}
	}
}
