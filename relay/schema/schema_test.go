package schema_test

import (
	"strings"
	"testing"

	"comfreyrelay.example/relay/schema"
)

// Guards against an entry that spends seconds of processor time on one small body
// and answers no other request: the body holds numbers such as 1e999999, or a
// million invalid items, and the schema library computes with exact fractions and
// keeps every error in memory.
func TestExpensiveTextsAreRejected(t *testing.T) {
	for text, want := range map[string]int{
		`{"a":[1e999999,{"b":-1E-400}]}`:                    2,
		`[` + strings.Repeat("9", 41) + `]`:                 1,
		`[1e30, -0.25, 12, 1E-30]`:                          0,
		"[" + strings.Repeat("1,", 100_000) + "1]":          1,
		strings.Repeat("[", 500) + strings.Repeat("]", 500): 1,
		"[" + strings.Repeat("1e999,", 1500) + "1]":         1001,
	} {
		if _, problems := schema.ParseTree([]byte(text)); len(problems) != want {
			t.Errorf("%.40s: got %d problems, want %d", text, len(problems), want)
		}
	}
}

func TestPointersEscape(t *testing.T) {
	pointer := schema.Pointer("a/b", "~c", "")
	if got, want := pointer, "/a~1b/~0c/"; got != want {
		t.Errorf("got %q, want %q", got, want)
	}
	if got, want := strings.Join(schema.Tokens(pointer), "|"), "a/b|~c|"; got != want {
		t.Errorf("got %q, want %q", got, want)
	}
}

func TestSortComparesIndexesAsNumbers(t *testing.T) {
	var problems []schema.Problem
	for _, path := range []string{"/models/10", "/models/2", "", "/customers/0", "/models/2"} {
		problems = append(problems, schema.NewProblem(path, "wrong", "correct it"))
	}
	var paths []string
	for _, problem := range schema.Sort(problems) {
		paths = append(paths, problem.Path())
	}
	if got, want := strings.Join(paths, " "), " /customers/0 /models/2 /models/10"; got != want {
		t.Errorf("got %q, want %q", got, want)
	}
}
