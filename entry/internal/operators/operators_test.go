package operators

import (
	"bytes"
	"context"
	"encoding/json"
	"io"
	"log/slog"
	"net/http"
	"net/http/httptest"
	"strings"
	"testing"
	"time"

	"github.com/go-chi/chi/v5"
	"github.com/jonboulle/clockwork"

	"comfreyrelay.example/entry/internal/control"
	"comfreyrelay.example/entry/internal/store"
	"comfreyrelay.example/relay/document"
	"comfreyrelay.example/relay/failure"
	"comfreyrelay.example/relay/kv"
	"comfreyrelay.example/relay/view"
	"comfreyrelay.example/relay/wire"
)

const (
	bootKey  = "the first key"
	martaKey = "marta's key"
)

// apiFixture is the operators' API of one entry over an in-memory key-value
// service.
type apiFixture struct {
	t          *testing.T
	api        *API
	deployment *control.Deployment
	publisher  *control.Publisher
	routes     chi.Router
	down       bool
	// skipBuild skips the rebuild of the view after each call.
	skipBuild bool
}

func newAPIFixture(t *testing.T) *apiFixture {
	clock := clockwork.NewRealClock()
	log := slog.New(slog.NewTextHandler(io.Discard, nil))
	f := &apiFixture{t: t, routes: chi.NewRouter()}
	service := kv.NewMemory(clock)
	get := service.Get
	service.Get = func(ctx context.Context, key string) (kv.Entry, bool, error) {
		if f.down {
			return kv.Entry{}, false, failure.New(failure.Unavailable, "the service is down", "wait")
		}
		return get(ctx, key)
	}
	parts := store.NewPartCache(1 << 20)
	node := &wire.Node{Id: "entry-0", Incarnation: "i1", Role: "entry", FailureDomain: "zona-uno"}
	holder := view.NewHolder()
	f.deployment = control.NewDeployment(node, parts, holder, clock, log)
	self := control.NewSelf(node, func() int { return 0 }, func() []*wire.Demand { return nil }, f.deployment.Known, f.deployment.HomeRevision)
	f.publisher = control.NewPublisher(f.deployment, self.Make)
	f.api = New(Config{
		View: holder, Deployment: f.deployment, Docs: store.New(service, parts, clock, log), Service: service,
		Clock: clock, Log: log, BootstrapKeyHashes: []string{document.KeyHash(bootKey)},
	})
	f.api.Routes(f.routes)
	f.publisher.Build()
	return f
}

// call makes a request and returns the status code and the decoded body.
func (f *apiFixture) call(method, path, key string, body any) (int, map[string]any) {
	f.t.Helper()
	text, err := json.Marshal(body)
	if err != nil {
		f.t.Fatal(err)
	}
	req := httptest.NewRequest(method, path, bytes.NewReader(text))
	if key != "" {
		req.Header.Set("Authorization", "Bearer "+key)
	}
	rec := httptest.NewRecorder()
	f.routes.ServeHTTP(rec, req)
	if !f.skipBuild {
		f.publisher.Build()
	}
	got := map[string]any{}
	if err := json.Unmarshal(rec.Body.Bytes(), &got); err != nil {
		f.t.Fatalf("%s %s: got a body that is not JSON: %q", method, path, rec.Body)
	}
	return rec.Code, got
}

// mustCall makes a request, fails the test unless it returns the given status
// code, and returns the decoded body.
func (f *apiFixture) mustCall(status int, method, path, key string, body any) map[string]any {
	f.t.Helper()
	code, got := f.call(method, path, key, body)
	if code != status {
		f.t.Fatalf("%s %s: got status %d and %v, want %d", method, path, code, got, status)
	}
	return got
}

// documentOf returns the example document as JSON, with the given priority for
// its customer.
func documentOf(priority int) json.RawMessage {
	doc := document.Example()
	doc.Customers[0].Priority = uint32(priority)
	doc.Operators = []*wire.Operator{{Name: "marta", KeyHashes: []string{document.KeyHash(martaKey)}}}
	return document.Format(doc)
}

func submissionOf(base, priority int, id string) map[string]any {
	return map[string]any{"baseRevision": base, "submissionId": id, "reason": "because", "document": documentOf(priority)}
}

func TestOperatorWorkflow(t *testing.T) {
	f := newAPIFixture(t)
	f.mustCall(http.StatusNotFound, "GET", "/v1/document", bootKey, nil)
	f.mustCall(http.StatusOK, "POST", "/v1/document", bootKey, submissionOf(0, 1, "one"))
	f.mustCall(http.StatusOK, "POST", "/v1/document", martaKey, submissionOf(1, 2, "two"))
	if got := f.mustCall(http.StatusOK, "POST", "/v1/document", martaKey, submissionOf(1, 2, "two"))["revision"]; got != 2.0 {
		t.Errorf("got revision %v for the same submission again, want 2", got)
	}
	conflict := f.mustCall(http.StatusConflict, "POST", "/v1/document", martaKey, submissionOf(1, 3, "three"))
	if conflict["currentRevision"] != 2.0 || len(conflict["theirDiff"].([]any)) != 1 || len(conflict["yourDiff"].([]any)) != 1 {
		t.Errorf("got conflict %v, want revision 2 and one change on each side", conflict)
	}
	diff := f.mustCall(http.StatusOK, "GET", "/v1/document/diff?from=1&to=2", martaKey, nil)
	if got := len(diff["changes"].([]any)); got != 1 {
		t.Errorf("got %d changes between 1 and 2, want 1", got)
	}
	f.mustCall(http.StatusOK, "POST", "/v1/document/rollback", martaKey,
		map[string]any{"toRevision": 1, "baseRevision": 2, "submissionId": "back", "reason": "too eager"})
	trail := f.mustCall(http.StatusOK, "GET", "/v1/audit?from=2", martaKey, nil)["records"].([]any)
	last := trail[len(trail)-1].(map[string]any)
	if len(trail) != 2 || last["operator"] != "marta" || last["reason"] != "too eager" || last["fromAddress"] != "192.0.2.1" {
		t.Errorf("got trail %v, want revisions 2 and 3 and the author of the last", trail)
	}
	status := f.mustCall(http.StatusOK, "GET", "/v1/status", martaKey, nil)
	if status["revision"] != 3.0 || status["lowestRevision"] != 3.0 || status["ageMillis"].(float64) < 0 {
		t.Errorf("got status %v, want revision 3 confirmed", status)
	}
}

// TestOwnChangeIsReadBack guards against reading the document from a view that
// was not rebuilt yet. An operator's second change within 50 ms of the first then
// conflicted with their own first change.
func TestOwnChangeIsReadBack(t *testing.T) {
	f := newAPIFixture(t)
	f.skipBuild = true
	f.mustCall(http.StatusOK, "POST", "/v1/document", bootKey, submissionOf(0, 1, "one"))
	if got := f.mustCall(http.StatusOK, "GET", "/v1/document", martaKey, nil)["revision"]; got != 1.0 {
		t.Errorf("got revision %v right after it was accepted, want 1", got)
	}
}

// TestBootstrapKeyEnds guards against bootstrap keys that stay valid after the
// first document. Whoever set up the entry could then override the operators that
// the document lists.
func TestBootstrapKeyEnds(t *testing.T) {
	f := newAPIFixture(t)
	f.mustCall(http.StatusOK, "POST", "/v1/document", bootKey, submissionOf(0, 1, "one"))
	for _, key := range []string{bootKey, "", "somebody's"} {
		f.mustCall(http.StatusUnauthorized, "GET", "/v1/status", key, nil)
		f.mustCall(http.StatusUnauthorized, "POST", "/v1/document", key, submissionOf(1, 2, "two"))
	}
}

func TestBadDocumentsAreRefused(t *testing.T) {
	f := newAPIFixture(t)
	doc := document.Example()
	doc.Models[0].Customers = append(doc.Models[0].Customers, "nobody")
	body := submissionOf(0, 1, "one")
	body["document"] = json.RawMessage(document.Format(doc))
	refused := f.mustCall(http.StatusUnprocessableEntity, "POST", "/v1/document", bootKey, body)
	problem := refused["errors"].([]any)[0].(map[string]any)
	if !strings.HasPrefix(problem["path"].(string), "/models/0/customers") || problem["remedy"] == "" {
		t.Errorf("got problem %v, want its path and a remedy", problem)
	}
	checked := f.mustCall(http.StatusOK, "POST", "/v1/document/validate", bootKey, body["document"])
	if checked["valid"] != false {
		t.Errorf("got %v from validate, want it not valid", checked)
	}
	f.mustCall(http.StatusBadRequest, "POST", "/v1/document", bootKey, map[string]any{"baseRevison": 0})
	large := map[string]any{"reason": strings.Repeat("x", maxBodyBytes)}
	f.mustCall(http.StatusBadRequest, "POST", "/v1/document", bootKey, large)
	f.mustCall(http.StatusNotFound, "GET", "/v1/document", bootKey, nil)
}

// TestOutageIsReportedClearly checks that, while the key-value service is down, a
// new document is rejected with a remedy and the document in force can still be
// read.
func TestOutageIsReportedClearly(t *testing.T) {
	f := newAPIFixture(t)
	f.mustCall(http.StatusOK, "POST", "/v1/document", bootKey, submissionOf(0, 1, "one"))
	f.down = true
	refused := f.mustCall(http.StatusServiceUnavailable, "POST", "/v1/document", martaKey, submissionOf(1, 2, "two"))
	problem := refused["error"].(map[string]any)
	if problem["kind"] != "unavailable" || !strings.Contains(problem["remedy"].(string), "stays in force") {
		t.Errorf("got %v, want kind unavailable and a remedy that says what stays in force", problem)
	}
	if got := f.mustCall(http.StatusOK, "GET", "/v1/document", martaKey, nil)["revision"]; got != 1.0 {
		t.Errorf("got revision %v in the outage, want 1", got)
	}
}

func TestDrainMarksAHost(t *testing.T) {
	f := newAPIFixture(t)
	f.mustCall(http.StatusOK, "POST", "/v1/document", bootKey, submissionOf(0, 1, "one"))
	f.mustCall(http.StatusNotFound, "POST", "/v1/hosts/nobody/drain", martaKey, map[string]any{"drain": true})
	f.deployment.Members().ObserveHost(&wire.HostReport{
		Node: &wire.Node{Id: "agent-0", Incarnation: "i1", Role: "agent"}, Sequence: 1, Home: "entry-0",
	}, time.Now())
	f.publisher.Build()
	for _, drain := range []bool{true, true, false, false, true} {
		f.mustCall(http.StatusOK, "POST", "/v1/hosts/agent-0/drain", martaKey, map[string]any{"drain": drain})
		if got := f.node("agent-0")["leaving"]; got != drain {
			t.Errorf("got leaving %v, want %v", got, drain)
		}
	}
}

func (f *apiFixture) node(id string) map[string]any {
	for _, node := range f.mustCall(http.StatusOK, "GET", "/v1/status", martaKey, nil)["nodes"].([]any) {
		if found := node.(map[string]any); found["id"] == id {
			return found
		}
	}
	f.t.Fatalf("got no node %s in the status", id)
	return nil
}

func TestRolloutReportsProgress(t *testing.T) {
	f := newAPIFixture(t)
	f.mustCall(http.StatusOK, "POST", "/v1/document", bootKey, submissionOf(0, 1, "one"))
	model := document.Example().GetModels()[0]
	domain := model.GetReplicas()[0].GetFailureDomain()
	for i, state := range []string{"serving", "fetching"} {
		f.deployment.Members().ObserveHost(&wire.HostReport{
			Node:     &wire.Node{Id: "agent-" + state, Incarnation: "i1", Role: "agent", FailureDomain: domain},
			Sequence: 1, Home: "entry-0",
			Versions: []*wire.VersionState{{
				Model: model.GetName(), Version: model.GetVersion(), State: state, ChunksHave: uint32(8 - 4*i), ChunksTotal: 8,
				HoldUp: map[string]string{"fetching": "the origin is slow"}[state],
			}},
		}, time.Now())
	}
	f.publisher.Build()
	rollout := f.mustCall(http.StatusOK, "GET", "/v1/rollout", martaKey, nil)
	line := map[string]any{}
	for _, found := range rollout["models"].([]any) {
		if found.(map[string]any)["failureDomain"] == domain {
			line = found.(map[string]any)
		}
	}
	if line["serving"] != 1.0 || line["fetching"] != 1.0 || line["chunksHave"] != 12.0 || rollout["done"] != false {
		t.Errorf("got %v, want one serving, one fetching, 12 of 16 chunks, not done", rollout)
	}
	holdUps, _ := json.Marshal(line["holdUps"])
	if !strings.Contains(string(holdUps), "agent-fetching: the origin is slow") {
		t.Errorf("got hold-ups %s, want the host and its reason", holdUps)
	}
}
