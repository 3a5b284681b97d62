package hostlist_test

import (
	"net/http"
	"net/http/httptest"
	"testing"

	"comfreyrelay.example/relay/failure"
	"comfreyrelay.example/relay/hostlist"
)

// list is a fake server of the platform's list with an entity tag.
type list struct {
	tag, body   string
	status      int
	fullReplies int // replies with the list in the body
}

func (l *list) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	if l.status != http.StatusOK {
		w.WriteHeader(l.status)
		return
	}
	if l.tag != "" {
		w.Header().Set("ETag", l.tag)
		if r.Header.Get("If-None-Match") == l.tag {
			w.WriteHeader(http.StatusNotModified)
			return
		}
	}
	l.fullReplies++
	_, _ = w.Write([]byte(l.body))
}

const oneHost = `{"hosts":[{"id":"h1","role":"agent","state":"live","controlAddress":"127.0.0.1:1"}]}`

func read(t *testing.T, reader *hostlist.Reader, want int) {
	t.Helper()
	listed, err := reader.Read(t.Context())
	if err != nil {
		t.Fatal(err)
	}
	if got := len(listed); got != want {
		t.Errorf("hosts: got %d, want %d", got, want)
	}
}

func TestUnchangedListIsNotSentAgain(t *testing.T) {
	fake := &list{tag: `"a"`, body: oneHost, status: http.StatusOK}
	srv := httptest.NewServer(fake)
	defer srv.Close()
	reader := hostlist.NewReader(srv.URL, srv.Client())
	read(t, reader, 1)
	read(t, reader, 1)
	if got, want := fake.fullReplies, 1; got != want {
		t.Errorf("whole answers: got %d, want %d", got, want)
	}
	fake.tag, fake.body = `"b"`, `{"hosts":[]}`
	read(t, reader, 0)
}

func TestListWithoutTagIsReadWhole(t *testing.T) {
	fake := &list{body: oneHost, status: http.StatusOK}
	srv := httptest.NewServer(fake)
	defer srv.Close()
	reader := hostlist.NewReader(srv.URL, srv.Client())
	read(t, reader, 1)
	read(t, reader, 1)
	if got, want := fake.fullReplies, 2; got != want {
		t.Errorf("whole answers: got %d, want %d", got, want)
	}
}

// TestBrokenListLeavesTheTag guards against serving an outdated list forever. That
// happens if a list that cannot be parsed arrives with a new tag and the reader
// keeps the tag without the list: the next read is answered "not modified".
func TestBrokenListLeavesTheTag(t *testing.T) {
	fake := &list{tag: `"a"`, body: oneHost, status: http.StatusOK}
	srv := httptest.NewServer(fake)
	defer srv.Close()
	reader := hostlist.NewReader(srv.URL, srv.Client())
	read(t, reader, 1)
	fake.tag, fake.body = `"b"`, `{"hosts":`
	if _, err := reader.Read(t.Context()); failure.KindOf(err) != failure.Corrupt {
		t.Errorf("kind: got %v, want %v", failure.KindOf(err), failure.Corrupt)
	}
	fake.body = `{"hosts":[]}`
	read(t, reader, 0)
	fake.status = http.StatusServiceUnavailable
	if _, err := reader.Read(t.Context()); failure.KindOf(err) != failure.Unavailable {
		t.Errorf("kind: got %v, want %v", failure.KindOf(err), failure.Unavailable)
	}
}
