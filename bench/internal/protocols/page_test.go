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

// page is the description that is tested.
const page = "../../../docs/PROTOCOLS.md"

// example is one command with the answer shown for it.
type example struct {
	line    int    // of the command's fence, from 1
	script  string // shell text
	status  int    // HTTP status of the answer
	format  string // "json" or "text": the fence's language
	answer  string
	heading string
}

var statusLine = regexp.MustCompile(`^Answer ([0-9]{3})\b.*:$`)

// errNoAnswer: a command stands without the answer to expect.
var errNoAnswer = errors.New("a command without an answer")

// parsePage returns the page's examples in order. Each fence of shell text is
// followed by a line "Answer <status>:" and a fence with the answer.
func parsePage(text string) ([]example, error) {
	var examples []example
	var fence, body []string // fence: language, nil outside
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

// Each kind of call that the page must show stands in some command.
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
