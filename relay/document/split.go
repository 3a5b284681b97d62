package document

import (
	"cmp"
	"encoding/hex"
	"fmt"
	"slices"
	"strings"

	"github.com/cespare/xxhash/v2"
	"github.com/zeebo/blake3"
	"google.golang.org/protobuf/proto"

	"comfreyrelay.example/relay/wire"
)

const (
	// MaxPartBytes is the maximum size of a part, well below the store's limit of
	// 1 MiB.
	MaxPartBytes = 512 << 10
	// maxShards limits the shards of a section and thus the size of the root, which
	// lists every part.
	maxShards = 256
)

// Sections of the stored document. Models and customers are sharded; the shard
// number follows the section name after a slash.
const (
	sectionHead      = "head"
	sectionModels    = "models"
	sectionEndpoints = "endpoints"
	sectionServices  = "services"
	sectionOperators = "operators"
	sectionCustomers = "customers"
)

// PartBytes is a part of a document together with its encoded content.
type PartBytes struct {
	part  *wire.Part
	bytes []byte // BLAKE3 of these is the part's hash
}

// Part returns the part's name, hash and size.
func (p PartBytes) Part() *wire.Part { return p.part }

// Bytes returns the encoded content. The caller must not modify it.
func (p PartBytes) Bytes() []byte { return p.bytes }

// Canonical returns a copy with all lists sorted by name. Equivalent documents
// have the same canonical form.
func Canonical(doc *wire.Document) *wire.Document {
	canonical := proto.CloneOf(doc)
	if proto.Size(canonical.GetDeadlines()) == 0 {
		canonical.Deadlines = nil // an empty object is equivalent to an absent one
	}
	sortByName(canonical.GetModels())
	sortByName(canonical.GetCustomers())
	sortByName(canonical.GetOperators())
	sortByName(canonical.GetEndpoints())
	sortByName(canonical.GetServices())
	for _, model := range canonical.GetModels() {
		sortByName(model.GetAdapters())
		slices.SortFunc(model.GetReplicas(), func(a, b *wire.Replicas) int {
			return cmp.Compare(a.GetFailureDomain(), b.GetFailureDomain())
		})
		slices.Sort(model.GetCustomers())
	}
	for _, service := range canonical.GetServices() {
		slices.Sort(service.GetCustomers())
	}
	for _, customer := range canonical.GetCustomers() {
		slices.Sort(customer.GetKeyHashes())
	}
	for _, operator := range canonical.GetOperators() {
		slices.Sort(operator.GetKeyHashes())
	}
	return canonical
}

func sortByName[T named](items []T) {
	slices.SortFunc(items, func(a, b T) int { return cmp.Compare(a.GetName(), b.GetName()) })
}

// Split divides a document into parts, sorted by name, so that a frequent change
// transfers few bytes. Models and customers are sharded by the hash of their
// names. The number of shards is close to the number of members in each, which
// keeps the total size of the root and one changed part small. The customers
// allowed to use a model or service are stored in the customers' shards, so that
// a new model version does not transfer long lists of names.
func Split(doc *wire.Document) []PartBytes {
	canonical := Canonical(doc)
	customers := splitCustomers(canonical) // before withoutCustomers clears the lists
	parts := []PartBytes{
		makePart(sectionHead, &wire.Document{
			Schema: canonical.GetSchema(), Objective: canonical.GetObjective(),
			OriginCopies: canonical.GetOriginCopies(), Deadlines: canonical.GetDeadlines(),
		}),
		makePart(sectionEndpoints, &wire.Document{Endpoints: canonical.GetEndpoints()}),
		makePart(sectionServices, &wire.Document{Services: withoutCustomers(canonical.GetServices())}),
		makePart(sectionOperators, &wire.Document{Operators: canonical.GetOperators()}),
	}
	parts = append(parts, makeShards(sectionModels, splitModels(canonical.GetModels()))...)
	parts = append(parts, makeShards(sectionCustomers, customers)...)
	// Omit empty parts: a process that fetches a part from another one reads empty
	// content as "not found", so it could never assemble the document.
	parts = slices.DeleteFunc(parts, func(p PartBytes) bool { return len(p.bytes) == 0 })
	slices.SortFunc(parts, func(a, b PartBytes) int { return cmp.Compare(a.part.GetName(), b.part.GetName()) })
	return parts
}

// newShards returns the empty shards for the given number of members.
func newShards(members int) []*wire.Document {
	shards := make([]*wire.Document, shardCount(members))
	for i := range shards {
		shards[i] = &wire.Document{}
	}
	return shards
}

func shardOf(name string, shards []*wire.Document) *wire.Document {
	return shards[xxhash.Sum64String(name)%uint64(len(shards))]
}

func splitModels(models []*wire.Model) []*wire.Document {
	shards := newShards(len(models))
	for _, model := range withoutCustomers(models) {
		piece := shardOf(model.GetName(), shards)
		piece.Models = append(piece.Models, model)
	}
	return shards
}

// withoutCustomers clears the customer lists of the items in place and returns
// the items.
func withoutCustomers[T interface {
	*wire.Model | *wire.Service
	proto.Message
}](items []T) []T {
	for _, item := range items {
		message := item.ProtoReflect()
		message.Clear(message.Descriptor().Fields().ByName("customers"))
	}
	return items
}

func splitCustomers(canonical *wire.Document) []*wire.Document {
	shards := newShards(len(canonical.GetCustomers()))
	for _, customer := range canonical.GetCustomers() {
		piece := shardOf(customer.GetName(), shards)
		piece.Customers = append(piece.Customers, customer)
	}
	for _, model := range canonical.GetModels() {
		for _, customer := range model.GetCustomers() {
			piece := shardOf(customer, shards)
			piece.Models = mergeOrAppend(piece.Models, &wire.Model{Name: model.GetName(), Customers: []string{customer}})
		}
	}
	for _, service := range canonical.GetServices() {
		for _, customer := range service.GetCustomers() {
			piece := shardOf(customer, shards)
			piece.Services = mergeOrAppend(piece.Services, &wire.Service{Name: service.GetName(), Customers: []string{customer}})
		}
	}
	return shards
}

// mergeOrAppend merges item into the last element if their names are equal and appends
// it otherwise.
func mergeOrAppend[T interface {
	named
	proto.Message
}](items []T, item T) []T {
	if last := len(items) - 1; last >= 0 && items[last].GetName() == item.GetName() {
		proto.Merge(items[last], item)
		return items
	}
	return append(items, item)
}

// shardCount returns the smallest power of two whose square is at least members,
// at most maxShards.
func shardCount(members int) int {
	count := 1
	for count*count < members && count < maxShards {
		count *= 2
	}
	return count
}

func makeShards(section string, shards []*wire.Document) []PartBytes {
	parts := make([]PartBytes, len(shards))
	for i, piece := range shards {
		parts[i] = makePart(fmt.Sprintf("%s/%02d", section, i), piece)
	}
	return parts
}

func makePart(name string, piece *wire.Document) PartBytes {
	// Marshal fails only on invalid UTF-8, which Parse rejects.
	content, err := proto.MarshalOptions{Deterministic: true}.Marshal(piece)
	if err != nil {
		panic("document: " + name + " cannot be encoded: " + err.Error())
	}
	return PartBytes{
		part:  &wire.Part{Name: name, Hash: HashBytes(content), Size: uint32(len(content))},
		bytes: content,
	}
}

// HashBytes returns the BLAKE3 hash of a part's content in hexadecimal.
func HashBytes(content []byte) string {
	sum := blake3.Sum256(content)
	return hex.EncodeToString(sum[:])
}

// ContentHash returns a hash over all parts. Two documents have the same hash if
// and only if they are equivalent.
func ContentHash(parts []*wire.Part) string {
	sorted := slices.SortedFunc(slices.Values(parts), func(a, b *wire.Part) int {
		return cmp.Compare(a.GetName(), b.GetName())
	})
	var list strings.Builder
	for _, part := range sorted {
		fmt.Fprintf(&list, "%s %s\n", part.GetName(), part.GetHash())
	}
	return HashBytes([]byte(list.String()))
}

// Parts returns the names, hashes and sizes of the parts, as a root lists them.
func Parts(pieces []PartBytes) []*wire.Part {
	parts := make([]*wire.Part, len(pieces))
	for i, piece := range pieces {
		parts[i] = piece.part
	}
	return parts
}

func section(part string) string {
	name, _, _ := strings.Cut(part, "/")
	return name
}
