package cmd

import (
	"bytes"
	"context"
	"fmt"
	"os"
	"path/filepath"
	"strings"
	"testing"

	"github.com/jonboulle/clockwork"
)

// sampleLog returns log lines of two entries and an agent. One outcome contains HTML
// that the page must escape.
func sampleLog() string {
	var log strings.Builder
	for i := range 40 {
		fmt.Fprintf(&log, "time=2026-06-17T15:08:%02d.100Z level=INFO msg=answered node=front-%d outcome=served status=200 tookMillis=900 "+
			"heldMillis=%d ageMillis=200 request=r-%d sends=1 events=9 firstMillis=%d pauseMillis=80 targetMillis=400 gapMillis=300\n",
			i, i%2, i, i, 100+i)
	}
	log.WriteString(`time=2026-06-17T15:08:31.000Z level=INFO msg="endpoint looked at" node=front-1 endpoint=i-1 born=0 ended=true requests=[r-1] prints=[d1]
time=2026-06-17T15:08:32.000Z level=INFO msg="version whole" node=side-1 version=m@2
time=2026-06-17T15:08:33.000Z level=INFO msg=answered node=front-1 outcome="<script>full</script>" status=503 request=r-90
`)
	return log.String()
}

func runReport(args ...string) (out string, code int) {
	var text, errors bytes.Buffer
	term := &terminal{in: strings.NewReader(sampleLog()), out: &text, errOut: &errors, clock: clockwork.NewFakeClock()}
	code = run(context.Background(), "test", append([]string{"report"}, args...), term)
	return text.String() + errors.String(), code
}

func TestReportPageIsSelfContained(t *testing.T) {
	file := filepath.Join(t.TempDir(), "day.html")
	if out, code := runReport("--html", file); code != 0 || !strings.Contains(out, "answered") {
		t.Fatalf("got %q, exit code %d, want the report besides", out, code)
	}
	text, err := os.ReadFile(file)
	if err != nil {
		t.Fatal(err)
	}
	page := string(text)
	for _, want := range []string{
		"Requests answered, by how they ended", "First event of streams", "Waiting for a place", "Age of what entries knew",
		"What processes learned of endpoints and weights", "endpoints ended", "versions whole on a host", "&lt;script&gt;",
	} {
		if !strings.Contains(page, want) {
			t.Errorf("got a page without %q", want)
		}
	}
	if got, want := strings.Count(page, "<svg"), 5; got != want {
		t.Errorf("got %d plots, want %d", got, want)
	}
	for _, not := range []string{"<script", "src=", "<?xml", "loads ordered"} {
		if strings.Contains(page, not) {
			t.Errorf("got a page with %q, want none", not)
		}
	}
}

func TestReportPageThatCantBeWritten(t *testing.T) {
	out, code := runReport("--html", filepath.Join(t.TempDir(), "none", "day.html"))
	if code != 2 || !strings.Contains(out, "the page cannot be written") {
		t.Errorf("got %q, exit code %d, want a remedy and exit code 2", out, code)
	}
}

func TestReportWithoutRequests(t *testing.T) {
	out, code := runReport("--from", "2027-01-01T00:00:00Z", "--html", filepath.Join(t.TempDir(), "day.html"))
	if code != 2 || !strings.Contains(out, "no answered request") {
		t.Errorf("got %q, exit code %d, want no request and exit code 2", out, code)
	}
}
