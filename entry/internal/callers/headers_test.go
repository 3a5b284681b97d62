package callers

import (
	"bufio"
	"bytes"
	"encoding/json"
	"fmt"
	"net/http"
	"net/http/httptest"
	"strings"
	"testing"
)

// FuzzHeaders sends requests with arbitrary headers. It checks that nothing panics,
// that no request without a customer's key is answered, and that each refusal has
// an outcome and a remedy.
func FuzzHeaders(f *testing.F) {
	good := `{"model":"parcel","prompt":"Envelope 7","maxTokens":2,"repeatable":true}`
	once := `{"model":"parcel","prompt":"Envelope 7","maxTokens":2,"repeatable":false}`
	authorized := "Authorization: Bearer " + testKey + "\r\n"
	for _, seed := range []struct{ header, body string }{
		{authorized, good},
		{authorized + "Accept: text/event-stream\r\n", good},
		{authorized + "Accept: text/event-stream, */*;q=0\r\n", once},
		{authorized + "Idempotency-Key: 0198a3f0-0000-7000-8000-000000000001\r\n", once},
		{authorized + "Idempotency-Key: x.y\r\nIdempotency-Key: z\r\n", once},
		{"Authorization: Bearer " + otherKey + "\r\n", good},
		{"Authorization: bearer " + testKey + "\r\n", good},
		{"Authorization: Bearer  " + testKey + "\r\n", good},
		{"Authorization: Bearer x\r\n" + authorized, good},
		{"Authorization: Bearer " + strings.Repeat("k", 4096) + "\r\n", good},
		{authorized + "Transfer-Encoding: chunked\r\n", "3\r\n{}\n\r\n0\r\n\r\n"},
		{authorized + "Expect: 100-continue\r\nConnection: close, upgrade\r\nUpgrade: h2c\r\n", good},
		{authorized + "Content-Type: \x00\r\n", good},
		{"", ""},
	} {
		f.Add(seed.header, []byte(seed.body))
	}
	deployment := newTestDeployment(f)
	deployment.addAgent("host-1", answer("two", "words"))
	entry := deployment.addEntry("entry-1")
	deployment.publish()
	handler := entry.http.Config.Handler
	f.Fuzz(func(t *testing.T, header string, body []byte) {
		for _, path := range []string{"/v1/requests", "/v1/services/ledger", "/v1/entries"} {
			req := readRequest(path, header, body)
			if req == nil {
				return // net/http rejects it
			}
			got := httptest.NewRecorder()
			handler.ServeHTTP(got, req)
			checkReply(t, path, req, got)
		}
	})
}

// readRequest parses the HTTP request that a caller would send; it returns nil if
// it is not valid HTTP.
func readRequest(path, header string, body []byte) *http.Request {
	method := http.MethodPost
	if path == "/v1/entries" {
		method = http.MethodGet
	}
	raw := &bytes.Buffer{}
	fmt.Fprintf(raw, "%s %s HTTP/1.1\r\nHost: entry\r\n", method, path)
	if !strings.Contains(strings.ToLower(header), "transfer-encoding") {
		fmt.Fprintf(raw, "Content-Length: %d\r\n", len(body))
	}
	raw.WriteString(header + "\r\n")
	raw.Write(body)
	req, err := http.ReadRequest(bufio.NewReader(raw))
	if err != nil {
		return nil
	}
	req.RemoteAddr = "127.0.0.1:1"
	return req
}

// checkReply checks that only authenticated requests are answered, and that a
// refusal is complete.
func checkReply(t *testing.T, path string, req *http.Request, got *httptest.ResponseRecorder) {
	t.Helper()
	key := req.Header.Get("Authorization")
	if got.Code == http.StatusOK {
		if key != "Bearer "+testKey && (key != "Bearer "+otherKey || path != "/v1/entries") {
			t.Errorf("%s: got an answer for %q, want it refused", path, key)
		}
		return
	}
	var failed errorBody
	if err := json.Unmarshal(got.Body.Bytes(), &failed); err != nil {
		t.Fatalf("%s: got status %d with %q, want JSON", path, got.Code, got.Body)
	}
	if failed.Outcome == "" || failed.Error.Kind == "" || failed.Error.Remedy == "" {
		t.Errorf("%s: got status %d with %s, want an outcome, a kind and a remedy", path, got.Code, got.Body)
	}
	if key != "Bearer "+testKey && key != "Bearer "+otherKey && got.Code != http.StatusUnauthorized {
		t.Errorf("%s: got status %d for %q, want %d", path, got.Code, key, http.StatusUnauthorized)
	}
}
