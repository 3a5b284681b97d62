package document_test

import (
	"strings"
	"testing"

	"google.golang.org/protobuf/proto"

	"comfreyrelay.example/relay/document"
	"comfreyrelay.example/relay/schema"
	"comfreyrelay.example/relay/wire"
)

// FuzzParse parses arbitrary text. It must be rejected with problems that each
// have a remedy, or be unchanged after formatting, splitting and joining.
func FuzzParse(f *testing.F) {
	f.Add(document.Format(document.Example()))
	f.Add([]byte(`{"objective":"cheap","originCopies":9,"models":[{"name":"a"},null,"b"],"operators":[]}`))
	f.Add([]byte(`{"models":[{"replicas":{"count":-1}}],"customers":"none","deadlines":{"drain":"1e9s"}}`))
	f.Add([]byte(`{"objective":"time","objective":"time","originCopies":1e999999}`))
	f.Add([]byte("{\"$schema\":\"\\ud800\xff\",\"operators\":[{\"name\":\"a/~b\",\"keyHashes\":[\"\",\"\"]}]}"))
	f.Add([]byte(strings.Repeat(`[`, 300)))
	f.Add([]byte(`{"endpoints":[{"name":"e","kind":"service"}],"services":[{"name":"s","endpoint":"f","customers":["x"]}],"models":[{"name":"m","adapters":[{"baseVersion":"0"}]}]}`))
	f.Fuzz(func(t *testing.T, text []byte) {
		doc, problems := document.Parse(text)
		if (doc == nil) != (len(problems) > 0) {
			t.Fatalf("got document %v with problems %v, want one of the two", doc, problems)
		}
		for _, problem := range problems {
			if problem.Message() == "" || problem.Remedy() == "" {
				t.Errorf("got %v, want a message and a remedy", problem)
			}
			checkPath(t, text, problem.Path())
		}
		if doc != nil {
			checkRoundTrip(t, doc)
		}
	})
}

// checkPath checks that the value at a problem's path, or at least its parent, is
// in the text, where the operator looks for it.
func checkPath(t *testing.T, text []byte, path string) {
	t.Helper()
	if path == "" {
		return
	}
	tree, _ := schema.ParseTree(text)
	tokens := schema.Tokens(path)
	if _, ok := schema.At(tree, tokens[:len(tokens)-1]); !ok {
		t.Errorf("got path %s, want one that leads into the text", path)
	}
}

func checkRoundTrip(t *testing.T, doc *wire.Document) {
	t.Helper()
	again, problems := document.Parse(document.Format(doc))
	if len(problems) > 0 || !proto.Equal(again, doc) {
		t.Errorf("got %v with problems %v after formatting, want %v", again, problems, doc)
	}
	parts := document.Split(doc)
	have := store{}
	have.put(parts)
	joined, err := document.Join(rootOf(parts), have.get)
	if err != nil {
		t.Fatal(err)
	}
	if want := document.Canonical(doc); !proto.Equal(joined, want) {
		t.Errorf("got %v, want %v", joined, want)
	}
	if changes := document.Diff(doc, joined); len(changes) > 0 {
		t.Errorf("got changes %v between a document and its parts joined, want none", changes)
	}
}

// FuzzJoin joins arbitrary roots and part contents. Join must not panic or accept
// content that does not match its hash.
func FuzzJoin(f *testing.F) {
	parts := document.Split(document.Example())
	root, err := proto.Marshal(rootOf(parts))
	if err != nil {
		f.Fatal(err)
	}
	for _, part := range parts {
		f.Add(root, part.Bytes())
	}
	f.Fuzz(func(t *testing.T, root, part []byte) {
		tree := &wire.Root{}
		if err := proto.Unmarshal(root, tree); err != nil {
			return
		}
		asked := ""
		doc, err := document.Join(tree, func(hash string) []byte {
			asked = hash
			return part
		})
		if err == nil && len(tree.GetParts()) > 0 && document.HashBytes(part) != asked {
			t.Errorf("got document %v from a part that does not match, want an error", doc)
		}
	})
}
