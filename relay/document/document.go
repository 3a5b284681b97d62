// Package document reads, checks, compares, splits and joins the operators'
// document: the entire desired state of one deployment.
package document

import (
	"bytes"
	_ "embed" // for the schema
	"encoding/json"
	"fmt"

	"google.golang.org/protobuf/encoding/protojson"

	"comfreyrelay.example/relay/schema"
	"comfreyrelay.example/relay/wire"
)

// MaxBytes bounds a document's JSON text. It leaves room for the rest of a
// submission, which entries bound at 2 MiB.
const MaxBytes = 2<<20 - 16<<10

// Values of the document's enumerations.
const (
	ObjectiveTime        = "time"
	ObjectiveOriginBytes = "originBytes"
	ShiftAsHostsTurn     = "asHostsTurn"
	ShiftWhenWhole       = "whenWhole"
	KindEngine           = "engine"
	KindService          = "service"
	KindBridge           = "bridge"
)

//go:embed document.schema.json
var schemaText []byte

var checker = schema.MustCompile("document.schema.json", schemaText)

// Problem is one thing wrong in a document.
type Problem = schema.Problem

// Schema returns the JSON schema's text; the caller does not change it.
func Schema() []byte { return schemaText }

// Describe returns what the schema says of a path: a JSON pointer, or keys
// joined by dots.
func Describe(path string) (schema.Field, bool) {
	return checker.Describe(schema.PathTokens(path))
}

// Parse reads a document's JSON text and returns every problem at once. The
// document is nil where there are problems.
func Parse(text []byte) (*wire.Document, []Problem) {
	if len(text) > MaxBytes {
		return nil, []Problem{schema.NewProblem("", fmt.Sprintf("the document has %d bytes, more than %d", len(text), MaxBytes),
			"take out what is not needed")}
	}
	tree, problems := schema.ParseTree(text)
	if len(problems) > 0 {
		return nil, problems
	}
	problems = checker.Check(tree)
	if len(problems) == 0 {
		return parseClean(text)
	}
	return nil, schema.Sort(append(problems, checkRest(tree, problems)...))
}

// parseClean reads a text that keeps to the schema. It decodes the text and
// not the tree, so that a key given twice is refused and not half ignored.
func parseClean(text []byte) (*wire.Document, []Problem) {
	doc := &wire.Document{}
	if err := protojson.Unmarshal(text, doc); err != nil {
		return nil, []Problem{schema.NewProblem("", "the document cannot be read: "+schema.DecodeMessage(err),
			"correct the key that the message names")}
	}
	if problems := Check(doc); len(problems) > 0 {
		return nil, problems
	}
	return doc, nil
}

// checkRest checks the meaning of what the schema left unharmed, so that the
// operator sees all problems in one go.
func checkRest(tree any, known []Problem) []Problem {
	checker.Prune(tree, known)
	text, err := json.Marshal(tree)
	if err != nil {
		return nil
	}
	doc := &wire.Document{}
	if err := protojson.Unmarshal(text, doc); err != nil {
		return nil
	}
	var rest []Problem
	for _, problem := range check(doc, known) {
		if !schema.Covers(known, problem.Path()) {
			rest = append(rest, problem)
		}
	}
	return rest
}

// Format returns the document's JSON text, indented, the same for the same
// document everywhere.
func Format(doc *wire.Document) []byte {
	text, err := protojson.Marshal(doc)
	if err != nil {
		// Only text that is not UTF-8 fails here, and Parse lets none in.
		return []byte("{}\n")
	}
	var out bytes.Buffer
	// protojson varies its white space on purpose between builds of a program.
	if err := json.Indent(&out, text, "", "  "); err != nil {
		return []byte("{}\n")
	}
	out.WriteByte('\n')
	return out.Bytes()
}
