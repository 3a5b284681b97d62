package schema

import (
	"strings"
	"testing"
)

func TestProblemsNameTheirLine(t *testing.T) {
	text := []byte("{\n  \"a\": [1,\n    2],\n  \"b~/c\": {\n    \"d\": true}\n}\n")
	for _, test := range []struct {
		path string
		want string
	}{
		{"", "line 1: "}, {"/a", "line 2: "}, {"/a/1", "line 3: "}, {"/b~0~1c/d", "line 5: "},
		{"/b~0~1c/missing", "line 4: "}, {"/missing", "line 1: "},
	} {
		got := FormatWithLines(text, []Problem{NewProblem(test.path, "it is wrong", "correct it")})
		if !strings.HasPrefix(got, test.want) {
			t.Errorf("%q: got %q, want it to begin with %q", test.path, got, test.want)
		}
	}
	// The values before a syntax error have line numbers.
	if got := FormatWithLines([]byte("{\n\"a\": 1,\n"), []Problem{NewProblem("/a", "x", "y")}); !strings.HasPrefix(got, "line 2: ") {
		t.Errorf("got %q, want line 2", got)
	}
}
