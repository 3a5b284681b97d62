package document_test

import (
	"bytes"
	"encoding/json"
	"fmt"
	"os"
	"strings"
	"testing"

	"github.com/cockroachdb/datadriven"
	"google.golang.org/protobuf/encoding/protojson"
	"google.golang.org/protobuf/proto"

	"comfreyrelay.example/relay/document"
	"comfreyrelay.example/relay/schema"
	"comfreyrelay.example/relay/wire"
)

// TestScripts runs testdata/scripts/*.txt. "parse" validates the input. "edit"
// changes the example by lines of the form "<pointer> <JSON>" ("-" deletes) and
// validates the result. "hosts" checks the edited example against host counts.
// "diff" prints the changes that the edits make.
func TestScripts(t *testing.T) {
	datadriven.Walk(t, "testdata/scripts", func(t *testing.T, path string) {
		datadriven.RunTest(t, path, func(t *testing.T, d *datadriven.TestData) string {
			switch d.Cmd {
			case "parse":
				_, problems := document.Parse([]byte(d.Input))
				return render(problems)
			case "edit":
				_, problems := document.Parse(editedExample(t, d.Input))
				return render(problems)
			case "hosts":
				doc := mustParse(t, editedExample(t, d.Input))
				counts := map[string]int{}
				for _, arg := range d.CmdArgs {
					var count int
					d.ScanArgs(t, arg.Key, &count)
					counts[arg.Key] = count
				}
				return render(document.CheckAgainstHosts(doc, counts))
			case "diff":
				return renderChanges(document.Diff(document.Example(), mustParse(t, editedExample(t, d.Input))))
			}
			t.Fatalf("unknown command %s", d.Cmd)
			return ""
		})
	})
}

func render(problems []document.Problem) string {
	if len(problems) == 0 {
		return "valid\n"
	}
	var out strings.Builder
	for _, problem := range problems {
		fmt.Fprintf(&out, "%s\n  %s\n  -> %s\n", problem.Path(), problem.Message(), problem.Remedy())
	}
	return out.String()
}

func renderChanges(changes []*wire.Change) string {
	var out strings.Builder
	for _, change := range changes {
		fmt.Fprintf(&out, "%s: %q -> %q\n", change.GetPath(), change.GetBefore(), change.GetAfter())
	}
	return out.String()
}

// editedExample returns the example with the values at the given pointers replaced. The
// token "-" appends to a list.
func editedExample(t *testing.T, input string) []byte {
	t.Helper()
	tree, problems := schema.ParseTree(document.Format(document.Example()))
	if len(problems) > 0 {
		t.Fatal(problems)
	}
	for line := range strings.Lines(input) {
		pointer, value, _ := strings.Cut(strings.TrimSpace(line), " ")
		tokens := schema.Tokens(pointer)
		tree = set(t, tree, tokens, value)
	}
	text, err := json.Marshal(tree)
	if err != nil {
		t.Fatal(err)
	}
	return text
}

func set(t *testing.T, tree any, tokens []string, value string) any {
	t.Helper()
	if len(tokens) == 0 {
		parsed, problems := schema.ParseTree([]byte(value))
		if len(problems) > 0 {
			t.Fatal(value, problems)
		}
		return parsed
	}
	switch node := tree.(type) {
	case map[string]any:
		if len(tokens) == 1 && value == "-" {
			delete(node, tokens[0])
			return node
		}
		node[tokens[0]] = set(t, node[tokens[0]], tokens[1:], value)
		return node
	case []any:
		if tokens[0] == "-" {
			return append(node, set(t, nil, tokens[1:], value))
		}
		var i int
		if _, err := fmt.Sscan(tokens[0], &i); err != nil {
			t.Fatal(err)
		}
		node[i] = set(t, node[i], tokens[1:], value)
		return node
	}
	t.Fatalf("no %v in %T", tokens, tree)
	return nil
}

func mustParse(t *testing.T, text []byte) *wire.Document {
	t.Helper()
	doc, problems := document.Parse(text)
	if len(problems) > 0 {
		t.Fatalf("got problems %v, want none", problems)
	}
	return doc
}

func TestSchemaIsPublished(t *testing.T) {
	published, err := os.ReadFile("../../docs/document.schema.json")
	if err != nil {
		t.Fatal(err)
	}
	if !bytes.Equal(published, document.Schema()) {
		t.Error("got docs/document.schema.json unlike the embedded schema, want the same bytes")
	}
}

// TestSchemaHasEveryField fails if a wire field is missing from the schema,
// because a document could not set it.
func TestSchemaHasEveryField(t *testing.T) {
	full := document.Example()
	full.Models[0].Adapters = []*wire.Adapter{{Name: "notes", Version: full.Models[0].Version, BaseVersion: full.Models[0].Version}}
	text, err := protojson.MarshalOptions{EmitUnpopulated: true}.Marshal(full)
	if err != nil {
		t.Fatal(err)
	}
	if _, problems := document.Parse(text); len(problems) > 0 {
		t.Errorf("got problems %v with every field written, want none", problems)
	}
}

func TestFormatAndParseKeepTheDocument(t *testing.T) {
	want := document.Example()
	got := mustParse(t, document.Format(want))
	if !proto.Equal(got, want) {
		t.Errorf("got %v, want %v", got, want)
	}
}
