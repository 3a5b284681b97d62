package schema

import (
	"cmp"
	"encoding/json"
	"fmt"
	"slices"
	"strconv"
	"strings"
)

// Problem is a validation error in a JSON text, reported to its author.
type Problem struct {
	path    string // JSON pointer; empty means the whole text
	message string // description of the error, without a trailing period
	remedy  string // what to write instead; never empty
}

// NewProblem returns a Problem at a JSON pointer.
func NewProblem(path, message, remedy string) Problem {
	return Problem{path: path, message: message, remedy: remedy}
}

// Path returns the JSON pointer of the invalid or missing value.
func (p Problem) Path() string { return p.path }

// Message returns the description of the error.
func (p Problem) Message() string { return p.message }

// Remedy returns how to correct the error.
func (p Problem) Remedy() string { return p.remedy }

// String returns the path, message and remedy on one line.
func (p Problem) String() string {
	path := p.path
	if path == "" {
		path = "/"
	}
	return path + ": " + p.message + "; " + p.remedy
}

// problemJSON is the encoding of a Problem in the operators' API.
type problemJSON struct {
	Path    string `json:"path"`
	Message string `json:"message"`
	Remedy  string `json:"remedy"`
}

// MarshalJSON implements json.Marshaler.
func (p Problem) MarshalJSON() ([]byte, error) {
	return json.Marshal(problemJSON{Path: p.path, Message: p.message, Remedy: p.remedy})
}

// UnmarshalJSON implements json.Unmarshaler.
func (p *Problem) UnmarshalJSON(text []byte) error {
	var body problemJSON
	if err := json.Unmarshal(text, &body); err != nil {
		return err
	}
	*p = Problem{path: body.Path, message: body.Message, remedy: body.Remedy}
	return nil
}

// Sort sorts problems by path and message and removes duplicates. Indexes of list
// items are compared as numbers.
func Sort(problems []Problem) []Problem {
	slices.SortFunc(problems, func(a, b Problem) int {
		return cmp.Or(comparePaths(a.path, b.path), cmp.Compare(a.message, b.message))
	})
	return slices.Compact(problems)
}

func comparePaths(a, b string) int {
	return slices.CompareFunc(Tokens(a), Tokens(b), func(x, y string) int {
		i, errX := strconv.Atoi(x)
		j, errY := strconv.Atoi(y)
		if errX == nil && errY == nil {
			return cmp.Or(cmp.Compare(i, j), cmp.Compare(x, y))
		}
		return cmp.Compare(x, y)
	})
}

// maxProblems is the maximum number of problems reported for one text.
const maxProblems = 1000

// truncate shortens a list of problems to maxProblems and appends a problem that
// states how many were omitted.
func truncate(problems []Problem) []Problem {
	if len(problems) <= maxProblems {
		return problems
	}
	rest := NewProblem("", fmt.Sprintf("%d more problems are not listed", len(problems)-maxProblems),
		"correct those listed first")
	return append(problems[:maxProblems:maxProblems], rest)
}

// Covers reports whether the path of one of the problems is the given path or a
// parent of it.
func Covers(problems []Problem, path string) bool {
	return slices.ContainsFunc(problems, func(p Problem) bool {
		return p.path == path || strings.HasPrefix(path, p.path+"/")
	})
}
