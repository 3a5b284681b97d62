package document_test

import (
	"fmt"
	"testing"

	"google.golang.org/protobuf/proto"
	"pgregory.net/rapid"

	"comfreyrelay.example/relay/document"
	"comfreyrelay.example/relay/failure"
	"comfreyrelay.example/relay/wire"
)

func withCustomers(count int) *wire.Document {
	doc := document.Example()
	for i := range count {
		name := fmt.Sprintf("customer-%d", i)
		doc.Models[0].Customers = append(doc.Models[0].Customers, name)
		doc.Customers = append(doc.Customers, &wire.Customer{
			Name: name, KeyHashes: []string{document.KeyHash(name)}, Weight: 1, RequestsPerSecond: 10,
		})
	}
	return doc
}

// store holds the contents of parts by hash.
type store map[string][]byte

func (s store) put(parts []document.PartBytes) {
	for _, part := range parts {
		s[part.Part().GetHash()] = part.Bytes()
	}
}

func (s store) get(hash string) []byte { return s[hash] }

func rootOf(parts []document.PartBytes) *wire.Root {
	return &wire.Root{Revision: 1, Parts: document.Parts(parts)}
}

// maxChangeBytes is the maximum number of bytes that one change may transfer to a
// node: 66,000 changes a day at 7 KB/s allow about 9 KB each.
const maxChangeBytes = 9 << 10

func TestOneChangeTransfersOneSmallPart(t *testing.T) {
	changes := map[string]func(*wire.Document){
		"customer": func(doc *wire.Document) { doc.Customers[1].Priority = 5 },
		"version":  func(doc *wire.Document) { doc.Models[0].Version = document.KeyHash("v2") },
		"access":   func(doc *wire.Document) { doc.Models[0].Customers = doc.Models[0].Customers[1:] },
		"new customer": func(doc *wire.Document) {
			doc.Customers = append(doc.Customers, &wire.Customer{Name: "new", KeyHashes: []string{document.KeyHash("new")}})
			doc.Models[0].Customers = append(doc.Models[0].Customers, "new")
		},
	}
	for _, count := range []int{1, 10, 100, 1000} {
		for name, change := range changes {
			doc := withCustomers(count)
			have := store{}
			have.put(document.Split(doc))
			change(doc)
			root := rootOf(document.Split(doc))
			missing := document.MissingHashes(root, func(hash string) bool { return have[hash] != nil })
			if got, want := len(missing), 1; got != want {
				t.Errorf("%d customers, %s: got %d parts changed, want %d", count, name, got, want)
			}
			moved := proto.Size(root)
			for _, part := range root.GetParts() {
				if part.GetHash() == missing[0] {
					moved += int(part.GetSize())
				}
			}
			t.Logf("%d customers, %s: %d bytes", count, name, moved)
			if got, want := moved, maxChangeBytes; got > want {
				t.Errorf("%d customers, %s: got %d bytes moved, want at most %d", count, name, got, want)
			}
		}
	}
}

func TestPartsAreSmall(t *testing.T) {
	for _, part := range document.Split(withCustomers(1000)) {
		if got, want := len(part.Bytes()), 16<<10; got > want {
			t.Errorf("got %d bytes in %s, want at most %d", got, part.Part().GetName(), want)
		}
	}
}

// Guards against a process serving a mix of two documents: a peer sends part
// content that was truncated or changed in transit, and Join accepts it without
// verifying its hash.
func TestJoinRefusesWrongBytes(t *testing.T) {
	parts := document.Split(document.Example())
	have := store{}
	have.put(parts)
	root := rootOf(parts)
	hash := parts[0].Part().GetHash()
	have[hash] = have[hash][:1]
	_, err := document.Join(root, have.get)
	if got, want := failure.KindOf(err), failure.Corrupt; got != want {
		t.Errorf("got %v (%v), want %v", got, err, want)
	}
	delete(have, hash)
	_, err = document.Join(root, have.get)
	if got, want := failure.KindOf(err), failure.Unavailable; got != want {
		t.Errorf("got %v (%v), want %v", got, err, want)
	}
}

func drawDocument(t *rapid.T, label string) *wire.Document {
	doc := document.Example()
	names := rapid.SliceOfNDistinct(rapid.StringMatching(`[a-d][a-d/~]?`), 0, 6, rapid.ID).Draw(t, label+" customers")
	for _, name := range names {
		doc.Customers = append(doc.Customers, &wire.Customer{
			Name:      name,
			KeyHashes: []string{document.KeyHash(name), document.KeyHash(name + "2")},
			Priority:  rapid.Uint32Range(0, 1).Draw(t, label+" priority"),
		})
	}
	doc.Models[0].Customers = rapid.Permutation(names).Draw(t, label+" model customers")
	for _, name := range rapid.SliceOfNDistinct(rapid.StringMatching(`[m-p]`), 0, 3, rapid.ID).Draw(t, label+" models") {
		allowed := rapid.SliceOfNDistinct(rapid.SampledFrom([]string{"counter", "a", "b"}), 0, 3, rapid.ID).Draw(t, label+" allowed")
		doc.Models = append(doc.Models, &wire.Model{Name: name, Version: document.KeyHash(name), Customers: allowed})
		doc.Services = append(doc.Services, &wire.Service{Name: name, Endpoint: "notices", Customers: allowed})
	}
	if rapid.Bool().Draw(t, label+" deadlines") {
		doc.Deadlines = nil
	}
	return doc
}

func TestSplitJoinAndDiffAgree(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		a, b := drawDocument(t, "a"), drawDocument(t, "b")
		partsA, partsB := document.Split(a), document.Split(b)
		have := store{}
		have.put(partsA)
		joined, err := document.Join(rootOf(partsA), have.get)
		if err != nil {
			t.Fatal(err)
		}
		if want := document.Canonical(a); !proto.Equal(joined, want) {
			t.Errorf("got %v, want %v", joined, want)
		}
		sameHash := document.ContentHash(document.Parts(partsA)) == document.ContentHash(document.Parts(partsB))
		if got, want := len(document.Diff(a, b)) == 0, sameHash; got != want {
			t.Errorf("got an empty diff %t, want %t as the content hashes say", got, want)
		}
	})
}

// Guards against hosts of a deployment without services never receiving the
// document: if Split stored and listed an empty services section, a process that
// requests this part would get empty content, which also means "not found", and
// would request it forever.
func TestSplitMakesNoEmptyPart(t *testing.T) {
	doc := &wire.Document{Objective: "time", Operators: []*wire.Operator{{Name: "console"}}}
	for i := range 30 {
		doc.Customers = append(doc.Customers, &wire.Customer{Name: fmt.Sprintf("customer-%d", i)})
	}
	for _, part := range document.Split(doc) {
		if len(part.Bytes()) == 0 {
			t.Errorf("part %s: got no bytes, want some or no part", part.Part().GetName())
		}
	}
}
