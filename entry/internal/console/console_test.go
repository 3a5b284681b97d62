package console_test

import (
	"context"
	"html"
	"io"
	"net/http"
	"net/http/cookiejar"
	"net/http/httptest"
	"net/url"
	"regexp"
	"strings"
	"testing"

	"github.com/go-chi/chi/v5"
	"google.golang.org/protobuf/proto"

	"comfreyrelay.example/entry/internal/console"
	"comfreyrelay.example/relay/document"
	"comfreyrelay.example/relay/failure"
	"comfreyrelay.example/relay/wire"
)

// fakeEntry implements the functions that the console calls on its entry.
type fakeEntry struct {
	doc       *wire.Document
	revision  uint32
	submitted []console.Submission
}

func (f *fakeEntry) config() console.Config {
	return console.Config{
		Authenticate: func(key string) (string, bool) {
			return "first-operator", key == document.ExampleOperatorKey
		},
		Current:  func() (*wire.Document, uint32) { return f.doc, f.revision },
		Problems: func(*wire.Document) []document.Problem { return nil },
		Submit:   f.submit,
	}
}

func (f *fakeEntry) submit(_ context.Context, sub console.Submission) (uint32, *console.Conflict, error) {
	if sub.BaseRevision != f.revision {
		conflict := &console.Conflict{
			Current: f.revision,
			Theirs:  []*wire.Change{{Path: "/objective", Before: `"time"`, After: `"originBytes"`}},
		}
		return 0, conflict, failure.New(failure.Conflict, "somebody was first", "compare")
	}
	f.submitted = append(f.submitted, sub)
	f.doc = sub.Document
	f.revision++
	return f.revision, nil, nil
}

// startConsole serves the console and returns its URL and a client with a cookie
// jar.
func startConsole(t *testing.T, fake *fakeEntry) (string, *http.Client) {
	t.Helper()
	mux := chi.NewRouter()
	console.New(fake.config()).Routes(mux)
	srv := httptest.NewServer(mux)
	t.Cleanup(srv.Close)
	jar, err := cookiejar.New(nil)
	if err != nil {
		t.Fatal(err)
	}
	return srv.URL, &http.Client{Jar: jar}
}

// signIn logs in with the operator key and returns the page that follows.
func signIn(t *testing.T, client *http.Client, base string) string {
	t.Helper()
	return post(t, client, base+"/console/login", url.Values{"key": {document.ExampleOperatorKey}}, http.StatusOK)
}

// post sends a form, fails the test unless the response has the wanted status
// code, and returns the body.
func post(t *testing.T, client *http.Client, address string, values url.Values, want int) string {
	t.Helper()
	reply, err := client.PostForm(address, values)
	if err != nil {
		t.Fatal(err)
	}
	defer reply.Body.Close()
	body, err := io.ReadAll(reply.Body)
	if err != nil {
		t.Fatal(err)
	}
	if got := reply.StatusCode; got != want {
		t.Fatalf("status: got %d, want %d: %s", got, want, body)
	}
	return string(body)
}

var (
	inputTags      = regexp.MustCompile(`<input[^>]* name="([^"]+)"[^>]*>`)
	valueAttr      = regexp.MustCompile(` value="([^"]*)"`)
	textareas      = regexp.MustCompile(`<textarea[^>]* name="([^"]+)"[^>]*>([^<]*)</textarea>`)
	selects        = regexp.MustCompile(`(?s)<select[^>]* name="([^"]+)">(.*?)</select>`)
	selectedOption = regexp.MustCompile(`<option selected>([^<]*)`)
	firstOption    = regexp.MustCompile(`<option[^>]*>([^<]*)`)
)

// controls returns the form values that a browser would post from the page.
func controls(page string) url.Values {
	values := url.Values{}
	for _, match := range inputTags.FindAllStringSubmatch(page, -1) {
		tag := match[0]
		if strings.Contains(tag, `type="checkbox"`) && !strings.Contains(tag, " checked") {
			continue
		}
		if value := valueAttr.FindStringSubmatch(tag); value != nil {
			values.Set(match[1], html.UnescapeString(value[1]))
		}
	}
	for _, match := range textareas.FindAllStringSubmatch(page, -1) {
		values.Set(match[1], html.UnescapeString(match[2]))
	}
	for _, match := range selects.FindAllStringSubmatch(page, -1) {
		option := selectedOption.FindStringSubmatch(match[2])
		if option == nil {
			option = firstOption.FindStringSubmatch(match[2])
		}
		values.Set(match[1], option[1])
	}
	return values
}

func TestUnchangedFormSubmitsSameDocument(t *testing.T) {
	fake := &fakeEntry{doc: document.Example(), revision: 7}
	base, client := startConsole(t, fake)
	values := controls(signIn(t, client, base))
	values.Set("action", "submit")
	post(t, client, base+"/console/document", values, http.StatusOK)
	if got, want := len(fake.submitted), 1; got != want {
		t.Fatalf("submissions: got %d, want %d", got, want)
	}
	want := document.Canonical(document.Example())
	want.Schema = ""
	got := document.Canonical(fake.submitted[0].Document)
	if !proto.Equal(got, want) {
		t.Errorf("document: got %s, want %s", document.Format(got), document.Format(want))
	}
}

func TestFormChangesAndAddsItems(t *testing.T) {
	fake := &fakeEntry{doc: document.Example(), revision: 7}
	base, client := startConsole(t, fake)
	values := controls(signIn(t, client, base))
	values.Set("objective", "originBytes")
	values.Set("customers.1.name", "sorting")
	values.Set("customers.1.newKey", "a new key")
	values.Set("models.0.customers", "counter\nsorting")
	values.Set("services.0.remove", "true")
	values.Set("reason", "the sorting line joins")
	values.Set("action", "submit")
	page := post(t, client, base+"/console/document", values, http.StatusOK)
	if want := "Accepted as revision 8."; !strings.Contains(page, want) {
		t.Errorf("page: got %s, want it to hold %q", page, want)
	}
	sub := fake.submitted[0]
	if got, want := sub.Document.GetObjective(), "originBytes"; got != want {
		t.Errorf("objective: got %q, want %q", got, want)
	}
	if got, want := sub.Document.GetCustomers()[1].GetKeyHashes()[0], document.KeyHash("a new key"); got != want {
		t.Errorf("key hash: got %q, want %q", got, want)
	}
	if got, want := len(sub.Document.GetServices()), 0; got != want {
		t.Errorf("services: got %d, want %d", got, want)
	}
	if got, want := sub.Reason, "the sorting line joins"; got != want {
		t.Errorf("reason: got %q, want %q", got, want)
	}
}

func TestMessageIsShownBesideItsField(t *testing.T) {
	fake := &fakeEntry{doc: document.Example(), revision: 7}
	base, client := startConsole(t, fake)
	values := controls(signIn(t, client, base))
	values.Set("models.0.version", "not a hash")
	values.Set("originCopies", "many")
	values.Set("action", "submit")
	page := post(t, client, base+"/console/document", values, http.StatusUnprocessableEntity)
	if got, want := len(fake.submitted), 0; got != want {
		t.Errorf("submissions: got %d, want %d", got, want)
	}
	for _, id := range []string{"models.0.version", "originCopies"} {
		beside := regexp.MustCompile(`<div class="bad">\s*<label for="` + regexp.QuoteMeta(id) + `">`)
		if !beside.MatchString(page) {
			t.Errorf("field %s: got no message next to it, want one", id)
		}
	}
	if got, want := controls(page).Get("models.0.version"), "not a hash"; got != want {
		t.Errorf("typed value: got %q, want %q", got, want)
	}
}

// TestSecondOperatorSeesTheConflict guards against a form that overwrites another
// operator's change. Two operators open the form and both submit it; the second
// form is based on a revision that is no longer in force.
func TestSecondOperatorSeesTheConflict(t *testing.T) {
	fake := &fakeEntry{doc: document.Example(), revision: 7}
	base, client := startConsole(t, fake)
	values := controls(signIn(t, client, base))
	fake.revision = 8
	values.Set("action", "submit")
	page := post(t, client, base+"/console/document", values, http.StatusConflict)
	resubmitted := controls(page)
	if got, want := resubmitted.Get("base"), "8"; got != want {
		t.Errorf("base of the next submission: got %s, want %s", got, want)
	}
	if resubmitted.Get("submissionId") == values.Get("submissionId") {
		t.Error("submission id: got the same, want a new one")
	}
	if want := "<td>/objective</td>"; !strings.Contains(page, want) {
		t.Errorf("page: want the other operator's change %q", want)
	}
}

func TestUnknownKeyIsRefused(t *testing.T) {
	fake := &fakeEntry{doc: document.Example(), revision: 7}
	base, client := startConsole(t, fake)
	post(t, client, base+"/console/login", url.Values{"key": {"wrong"}}, http.StatusUnauthorized)
	post(t, client, base+"/console/document", url.Values{"action": {"submit"}}, http.StatusUnauthorized)
	values := controls(signIn(t, client, base))
	values.Set("token", "forged")
	post(t, client, base+"/console/document", values, http.StatusForbidden)
	if got, want := len(fake.submitted), 0; got != want {
		t.Errorf("submissions: got %d, want %d", got, want)
	}
}

// TestRowWithoutNameIsAnError guards against a partly filled new item that is
// dropped silently. An operator enters a customer's weight but no name, and the
// row without a name was treated as removed.
func TestRowWithoutNameIsAnError(t *testing.T) {
	fake := &fakeEntry{doc: document.Example(), revision: 7}
	base, client := startConsole(t, fake)
	values := controls(signIn(t, client, base))
	values.Set("customers.1.weight", "3")
	values.Set("action", "check")
	page := post(t, client, base+"/console/document", values, http.StatusUnprocessableEntity)
	if got, want := controls(page).Get("customers.1.weight"), "3"; got != want {
		t.Errorf("typed value: got %q, want %q", got, want)
	}
}
