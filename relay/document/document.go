// Package document parses, validates, compares, splits and joins the operators'
// document, which holds the entire desired state of one deployment.
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

// MaxBytes is the maximum size of a document's JSON text. Entries limit a whole
// submission to 2 MiB; the difference is reserved for its other fields.
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

// Problem is a validation error in a document.
type Problem = schema.Problem

// Schema returns the text of the JSON schema. The caller must not modify it.
func Schema() []byte { return schemaText }

// Describe returns the schema's description of the field at a path, which is a
// JSON pointer or a list of keys joined by dots.
func Describe(path string) (schema.Field, bool) {
	return checker.Describe(schema.PathTokens(path))
}

// Parse decodes and validates a document's JSON text and returns all problems at
// once. The document is nil if there are any problems.
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
		return parseValid(text)
	}
	return nil, schema.Sort(append(problems, checkPartial(tree, problems)...))
}

// parseValid decodes a text that conforms to the schema. It decodes the text
// instead of the parsed tree, so that a duplicate key is rejected; the tree keeps
// only one of the two values.
func parseValid(text []byte) (*wire.Document, []Problem) {
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

// checkPartial runs the semantic checks on the values in which the schema found no
// problem, so that the operator sees all problems at once.
func checkPartial(tree any, known []Problem) []Problem {
	checker.Prune(tree, known)
	text, err := json.Marshal(tree)
	if err != nil {
		return nil
	}
	doc := &wire.Document{}
	if err := protojson.Unmarshal(text, doc); err != nil {
		return nil
	}
	var found []Problem
	for _, problem := range checkExcept(doc, known) {
		if !schema.Covers(known, problem.Path()) {
			found = append(found, problem)
		}
	}
	return found
}

// Format returns the document as indented JSON. The output is deterministic
// across processes and builds.
func Format(doc *wire.Document) []byte {
	text, err := protojson.Marshal(doc)
	if err != nil {
		// Marshal fails only on invalid UTF-8, which Parse rejects.
		return []byte("{}\n")
	}
	var out bytes.Buffer
	// protojson deliberately varies its white space between builds.
	if err := json.Indent(&out, text, "", "  "); err != nil {
		return []byte("{}\n")
	}
	out.WriteByte('\n')
	return out.Bytes()
}
