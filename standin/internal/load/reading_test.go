package load

import (
	"context"
	"fmt"
	"path/filepath"
	"strings"
	"testing"
	"time"

	"github.com/cockroachdb/datadriven"
	"github.com/jonboulle/clockwork"

	"comfreyrelay.example/standin/internal/answer"
)

// TestVerdicts replays correct replies and replies with one fault each. All figures
// of the load generator depend on these verdicts.
func TestVerdicts(t *testing.T) {
	scripts, err := filepath.Glob("testdata/*.txt")
	if err != nil || len(scripts) == 0 {
		t.Fatalf("scripts: got %v, %v; want some", scripts, err)
	}
	for _, script := range scripts {
		t.Run(filepath.Base(script), func(t *testing.T) {
			datadriven.RunTest(t, script, replay)
		})
	}
}

// replay checks one reply. Each input line is the name and data of an event; "cut"
// closes the connection before the blank line of the last event.
func replay(t *testing.T, d *datadriven.TestData) string {
	clock := clockwork.NewFakeClock()
	intended := newVersions([]string{"v1", "v2"}, []Target{{Name: "label", Version: "x1"}})
	intended.remove("v2", clock.Now().Add(-time.Second))
	by := &sender{clock: clock, versions: intended}
	asked := request{prompt: "p", maxTokens: 3}
	current := &replyChecker{request: asked, askedAt: clock.Now(), versions: intended}
	if d.HasArg("key") {
		d.ScanArgs(t, "key", &current.key)
	}
	if d.HasArg("adapter") {
		d.ScanArgs(t, "adapter", &current.request.adapter.Name)
	}
	if d.HasArg("before") {
		// The request was sent before v2 was removed.
		current.askedAt = clock.Now().Add(-time.Minute)
	}
	ctx, cancel := context.WithCancel(t.Context())
	defer cancel()
	if d.HasArg("late") {
		cancel()
	}
	body := strings.NewReader(streamOf(d.Input))
	switch d.Cmd {
	case "entry":
		return describe(by.readStream(ctx, current, body, handleEntryEvent))
	case "engine":
		return describe(by.readStream(ctx, current, body, handleEngineEvent))
	}
	d.Fatalf(t, "unknown command %s", d.Cmd)
	return ""
}

func describe(judged verdict) string {
	return fmt.Sprintf("%s kind=%q version=%q tokens=%d retryAfter=%s spares=%v\n%s\n", judged.outcome, judged.kind,
		judged.version, judged.tokens, judged.retryAfter, judged.spares, judged.detail)
}

// streamOf encodes the events and replaces placeholders such as $v1.0 by the
// correct tokens and digests.
func streamOf(input string) string {
	var replacements []string
	for _, version := range []string{"v1", "v2", "v9"} {
		var tokens []string
		for i := range 4 {
			token := answer.Token(version, "", "p", i)
			replacements = append(replacements, fmt.Sprintf("$%s.%d", version, i), `"`+token+`"`)
			tokens = append(tokens, token)
		}
		replacements = append(replacements, "$"+version+".digest", `"`+answer.Digest(tokens[:3])+`"`)
	}
	var adapted []string
	for i := range 3 {
		adapted = append(adapted, answer.Token("v1", "x1", "p", i))
	}
	replacements = append(replacements, "$x1.all", `"`+strings.Join(adapted, `","`)+`"`, "$x1.digest", `"`+answer.Digest(adapted)+`"`)
	var out strings.Builder
	for _, line := range strings.Split(strings.NewReplacer(replacements...).Replace(input), "\n") {
		name, data, _ := strings.Cut(line, " ")
		if name == "cut" {
			return strings.TrimSuffix(out.String(), "\n")
		}
		fmt.Fprintf(&out, "event: %s\ndata: %s\n\n", name, data)
	}
	return out.String()
}

func TestWholeAnswers(t *testing.T) {
	right := make([]string, 3)
	for i := range right {
		right[i] = answer.Token("v1", "", "p", i)
	}
	model := request{prompt: "p", maxTokens: 3}
	service := request{prompt: "p", service: "customs"}
	tests := []struct {
		name  string
		asked request
		reply unaryReply
		want  string
	}{
		{"right", model, unaryReply{RequestID: "k", Version: "v1", Tokens: right}, Answered},
		{"too short", model, unaryReply{RequestID: "k", Version: "v1", Tokens: right[:2]}, CutOff},
		{"out of order", model, unaryReply{RequestID: "k", Version: "v1", Tokens: []string{right[1], right[0], right[2]}}, WrongAnswer},
		{"too long", model, unaryReply{RequestID: "k", Version: "v1", Tokens: append(right[:3:3], "x")}, WrongAnswer},
		{"tokens of another version", model, unaryReply{RequestID: "k", Version: "v2", Tokens: right}, WrongAnswer},
		{"another's key", model, unaryReply{RequestID: "l", Version: "v1", Tokens: right}, WrongAnswer},
		{"service", service, unaryReply{RequestID: "k", Body: answer.Service([]byte("p"))}, Answered},
		{"another's body", service, unaryReply{RequestID: "k", Body: answer.Service([]byte("q"))}, WrongAnswer},
		{"service, another's key", service, unaryReply{RequestID: "l", Body: answer.Service([]byte("p"))}, WrongAnswer},
	}
	for _, test := range tests {
		current := &replyChecker{request: test.asked, key: "k", versions: newVersions(nil, nil)}
		if got := current.checkReply(test.reply, time.Time{}); got.outcome != test.want {
			t.Errorf("%s: got %s (%s), want %s", test.name, got.outcome, got.detail, test.want)
		}
	}
}

func TestGapsAreByToken(t *testing.T) {
	start := time.Unix(0, 0)
	current := &replyChecker{request: request{maxTokens: 9}}
	current.addTokens([]string{"a"}, start.Add(time.Second))
	current.addTokens([]string{"b", "c"}, start.Add(3*time.Second))
	if got, want := current.firstToken, start.Add(time.Second); !got.Equal(want) {
		t.Errorf("first token: got %v, want %v", got, want)
	}
	if len(current.gaps) != 1 || current.gaps[0] != time.Second {
		t.Errorf("gaps: got %v, want [1s]", current.gaps)
	}
}
