package protocols

import (
	"errors"
	"fmt"
	"os"
	"regexp"
	"strconv"
	"strings"
	"testing"
)

// page is the path of the documentation under test.
const page = "../../../docs/PROTOCOLS.md"

// example is one command with the answer shown for it.
type example struct {
	line    int    // line of the command's opening fence, from 1
	script  string // shell text
	status  int    // HTTP status of the answer
	format  string // "json" or "text": the fence's language
	answer  string
	heading string
}

var statusLine = regexp.MustCompile(`^Answer ([0-9]{3})\b.*:$`)

// errNoAnswer reports a command that has no documented answer.
var errNoAnswer = errors.New("a command without an answer")

// parsePage returns the page's examples in order. Each fenced block of shell text
// must be followed by a line "Answer <status>:" and a fenced block with the answer.
func parsePage(text string) ([]example, error) {
	var examples []example
	var fence, body []string // fence holds the block's language and is nil outside of blocks
	current := example{}
	heading := ""
	for i, line := range strings.Split(text, "\n") {
		switch language, isFence := strings.CutPrefix(line, "```"); {
		case isFence && fence == nil:
			fence, body = []string{language}, nil
			if language == "sh" {
				if current.script != "" {
					return nil, fmt.Errorf("line %d: %w", current.line, errNoAnswer)
				}
				current = example{line: i + 1, heading: heading}
			}
		case isFence:
			text := strings.Join(body, "\n") + "\n"
			if fence[0] == "sh" {
				current.script = text
			} else if current.script != "" {
				if current.status == 0 {
					return nil, fmt.Errorf("line %d: an answer without its status", i+1)
				}
				current.format, current.answer = fence[0], text
				examples = append(examples, current)
				current = example{}
			}
			fence = nil
		case fence != nil:
			body = append(body, line)
		case strings.HasPrefix(line, "#"):
			heading = strings.TrimLeft(line, "# ")
		default:
			if match := statusLine.FindStringSubmatch(line); match != nil {
				current.status, _ = strconv.Atoi(match[1])
			}
		}
	}
	if current.script != "" {
		return nil, fmt.Errorf("line %d: %w", current.line, errNoAnswer)
	}
	return examples, nil
}

// readPage reads and parses the page.
func readPage(t *testing.T) []example {
	t.Helper()
	text, err := os.ReadFile(page)
	if err != nil {
		t.Fatal(err)
	}
	examples, err := parsePage(string(text))
	if err != nil {
		t.Fatal(err)
	}
	return examples
}

// TestEveryCommandHasAnAnswer checks that parsePage rejects a command without an
// answer and reads a complete example.
func TestEveryCommandHasAnAnswer(t *testing.T) {
	_, err := parsePage("```sh\ncurl a\n```\n\n```sh\ncurl b\n```\n")
	if !errors.Is(err, errNoAnswer) {
		t.Errorf("got %v for a command without an answer, want %v", err, errNoAnswer)
	}
	found, err := parsePage("# One\n\n```sh\ncurl a\n```\n\nAnswer 409, as kept:\n\n```json\n{}\n```\n")
	if err != nil || len(found) != 1 {
		t.Fatalf("got %v, %v, want one example", found, err)
	}
	want := example{line: 3, script: "curl a\n", status: 409, format: "json", answer: "{}\n", heading: "One"}
	if found[0] != want {
		t.Errorf("got %+v, want %+v", found[0], want)
	}
}

// TestPageShowsEveryCall checks that some command on the page uses each kind of
// call that it has to document.
func TestPageShowsEveryCall(t *testing.T) {
	var scripts strings.Builder
	for _, shown := range readPage(t) {
		scripts.WriteString(shown.script)
	}
	for _, want := range []string{
		"/v1/entries", "/v1/requests", "text/event-stream", `"repeatable": false`, "$OWNER.$ONCE", "/v1/services/",
		"/v1/document ", "/v1/document/validate", "/v1/document/diff", "/v1/document/rollback", "/v1/status", "/v1/rollout",
		"/drain", "/v1/audit",
	} {
		if !strings.Contains(scripts.String(), want) {
			t.Errorf("got no command with %q, want one", want)
		}
	}
}
