package cmd

import (
	"bytes"
	"errors"
	"fmt"
	"io"
	"net"
	"net/http"
	"os"
	"path/filepath"
	"regexp"
	"strings"
	"testing"
	"testing/synctest"

	"github.com/cockroachdb/datadriven"
	"github.com/jonboulle/clockwork"

	"comfreyrelay.example/relay/document"
)

// entryA and entryB are the addresses that scripts give with --entry.
const (
	entryA = "127.0.0.1:1"
	entryB = "127.0.0.1:2"
)

// cannedReply is a scripted reply of the fake entries.
type cannedReply struct {
	status int    // 0 for a connection that fails
	body   string // or "refused" (never connected) or "lost" (broken afterwards)
}

// fakeEntries is a fake transport that returns the scripted replies in order and
// then repeats the last one.
type fakeEntries struct {
	replies []cannedReply
	next    int
	log     strings.Builder
	ids     map[string]string // submission ids by their placeholder in the log
}

var uuidForm = regexp.MustCompile(`[0-9a-f]{8}-[0-9a-f]{4}-[0-9a-f]{4}-[0-9a-f]{4}-[0-9a-f]{12}`)

func (f *fakeEntries) send(request *http.Request) (*http.Response, error) {
	body, err := io.ReadAll(request.Body)
	if err != nil {
		return nil, err
	}
	text := regexp.MustCompile(`"document":\{.*\}`).ReplaceAllString(string(body), `"document":{...}`)
	if len(text) > 200 {
		text = "{...}"
	}
	line := fmt.Sprintf("> %s %s%s %s %s", request.Method, request.URL.Host, request.URL.RequestURI(),
		request.Header.Get("Authorization"), f.maskIDs(text))
	f.log.WriteString(strings.TrimRight(line, " ") + "\n")
	reply := f.replies[min(f.next, len(f.replies)-1)]
	f.next++
	switch reply.body {
	case "refused":
		return nil, &net.OpError{Op: "dial", Net: "tcp", Err: errors.New("connection refused")}
	case "lost":
		return nil, io.ErrUnexpectedEOF
	}
	content := io.NopCloser(strings.NewReader(f.unmaskIDs(reply.body)))
	return &http.Response{StatusCode: reply.status, Body: content, Header: http.Header{}}, nil
}

// maskIDs replaces each submission id with a stable placeholder.
func (f *fakeEntries) maskIDs(text string) string {
	return uuidForm.ReplaceAllStringFunc(text, func(id string) string {
		for name, known := range f.ids {
			if known == id {
				return name
			}
		}
		name := fmt.Sprintf("<id%d>", len(f.ids)+1)
		f.ids[name] = id
		return name
	})
}

// unmaskIDs replaces the placeholders in a canned reply with the submission ids.
func (f *fakeEntries) unmaskIDs(text string) string {
	for name, id := range f.ids {
		text = strings.ReplaceAll(text, name, id)
	}
	return text
}

// TestScripts runs testdata/scripts/*.txt. "entry" sets the replies, one per line:
// a status and a body, or "refused" or "lost". "ctl" runs comfreyctl in fake time
// with one argument per input line, and prints the requests, the output and the
// exit code. $DIR contains good.json (the example), changed.json, bad.json and key.
func TestScripts(t *testing.T) {
	datadriven.Walk(t, "testdata/scripts", func(t *testing.T, path string) {
		dir := t.TempDir()
		writeFiles(t, dir)
		var entries *fakeEntries
		datadriven.RunTest(t, path, func(t *testing.T, d *datadriven.TestData) string {
			switch d.Cmd {
			case "entry":
				entries = parseReplies(t, d.Input)
				return ""
			case "ctl":
				var got string
				synctest.Test(t, func(t *testing.T) { got = runCtl(t, entries, dir, d.Input) })
				return got
			}
			t.Fatalf("unknown command %s", d.Cmd)
			return ""
		})
	})
}

func writeFiles(t *testing.T, dir string) {
	t.Helper()
	changed := document.Example()
	changed.OriginCopies = 1
	for name, text := range map[string][]byte{
		"good.json":    document.Format(document.Example()),
		"changed.json": document.Format(changed),
		"bad.json":     []byte(`{"objective":"cheap","originCopies":9,"models":[],"operators":[]}`),
		"key":          []byte("secret\n"),
	} {
		if err := os.WriteFile(filepath.Join(dir, name), text, 0o600); err != nil {
			t.Fatal(err)
		}
	}
}

func parseReplies(t *testing.T, input string) *fakeEntries {
	t.Helper()
	entries := &fakeEntries{ids: map[string]string{}}
	example := strings.TrimSpace(string(document.Format(document.Example())))
	for line := range strings.Lines(input) {
		line = strings.TrimSpace(line)
		if line == "refused" || line == "lost" {
			entries.replies = append(entries.replies, cannedReply{body: line})
			continue
		}
		reply := cannedReply{}
		if _, err := fmt.Sscan(line, &reply.status); err != nil {
			t.Fatal(line, err)
		}
		_, reply.body, _ = strings.Cut(line, " ")
		reply.body = strings.ReplaceAll(reply.body, "$EXAMPLE", example)
		entries.replies = append(entries.replies, reply)
	}
	return entries
}

func runCtl(t *testing.T, entries *fakeEntries, dir, input string) string {
	t.Helper()
	var out, errOut bytes.Buffer
	term := &terminal{in: strings.NewReader(""), out: &out, errOut: &errOut, clock: clockwork.NewRealClock()}
	if entries != nil {
		term.send = entries.send
	}
	var args []string
	for line := range strings.Lines(input) {
		arg := strings.ReplaceAll(strings.TrimSpace(line), "$DIR", dir)
		arg = strings.ReplaceAll(arg, "$A", entryA)
		args = append(args, strings.ReplaceAll(arg, "$B", entryB))
	}
	code := run(t.Context(), "test", args, term)
	log := ""
	if entries != nil {
		log = entries.log.String()
		entries.log.Reset()
	}
	shown := fmt.Sprintf("%s%s%sexit %d\n", log, prefix("out", &out), prefix("err", &errOut), code)
	if entries != nil {
		shown = entries.maskIDs(shown)
	}
	return strings.ReplaceAll(shown, dir, "$DIR")
}

// prefix puts the name of the stream before each line and trims trailing spaces.
func prefix(stream string, text *bytes.Buffer) string {
	var marked strings.Builder
	for line := range strings.Lines(text.String()) {
		marked.WriteString(strings.TrimRight(stream+": "+strings.TrimRight(line, "\n"), " ") + "\n")
	}
	return marked.String()
}
