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
	// MaxPartBytes bounds a part well under the store's limit of 1 MiB.
	MaxPartBytes = 512 << 10
	// maxShards bounds the root, which lists every part.
	maxShards = 256
)

// Sections of the stored document; models and customers are in shards behind a
// slash.
const (
	sectionHead      = "head"
	sectionModels    = "models"
	sectionEndpoints = "endpoints"
	sectionServices  = "services"
	sectionOperators = "operators"
	sectionCustomers = "customers"
)

// PartBytes is one piece of a document with its content.
type PartBytes struct {
	part  *wire.Part
	bytes []byte // their BLAKE3 is the part's hash
}

// Part returns the name, hash and size.
func (p PartBytes) Part() *wire.Part { return p.part }

// Bytes returns the content; the caller does not change it.
func (p PartBytes) Bytes() []byte { return p.bytes }

// Canonical returns a copy with all lists in order of their names. Two
// documents that mean the same have the same canonical form.
func Canonical(doc *wire.Document) *wire.Document {
	dup := proto.CloneOf(doc)
	if proto.Size(dup.GetDeadlines()) == 0 {
		dup.Deadlines = nil // an empty object means the same as none
	}
	sortByName(dup.GetModels())
	sortByName(dup.GetCustomers())
	sortByName(dup.GetOperators())
	sortByName(dup.GetEndpoints())
	sortByName(dup.GetServices())
	for _, model := range dup.GetModels() {
		sortByName(model.GetAdapters())
		slices.SortFunc(model.GetReplicas(), func(a, b *wire.Replicas) int {
			return cmp.Compare(a.GetFailureDomain(), b.GetFailureDomain())
		})
		slices.Sort(model.GetCustomers())
	}
	for _, service := range dup.GetServices() {
		slices.Sort(service.GetCustomers())
	}
	for _, customer := range dup.GetCustomers() {
		slices.Sort(customer.GetKeyHashes())
	}
	for _, operator := range dup.GetOperators() {
		slices.Sort(operator.GetKeyHashes())
	}
	return dup
}

func sortByName[T named](items []T) {
	slices.SortFunc(items, func(a, b T) int { return cmp.Compare(a.GetName(), b.GetName()) })
}

// Split cuts a document into parts, ordered by name. What changes often moves
// little: models and customers are sharded by the hash of their names, into
// about as many shards as each shard has members, which keeps the sum of root
// and changed part small. Who may use a model or service stands in the
// customers' shards, so that a new version does not move long lists of names.
func Split(doc *wire.Document) []PartBytes {
	whole := Canonical(doc)
	customers := splitCustomers(whole) // before the lists of names are cut off
	parts := []PartBytes{
		makePart(sectionHead, &wire.Document{
			Schema: whole.GetSchema(), Objective: whole.GetObjective(),
			OriginCopies: whole.GetOriginCopies(), Deadlines: whole.GetDeadlines(),
		}),
		makePart(sectionEndpoints, &wire.Document{Endpoints: whole.GetEndpoints()}),
		makePart(sectionServices, &wire.Document{Services: withoutCustomers(whole.GetServices())}),
		makePart(sectionOperators, &wire.Document{Operators: whole.GetOperators()}),
	}
	parts = append(parts, makeShards(sectionModels, splitModels(whole.GetModels()))...)
	parts = append(parts, makeShards(sectionCustomers, customers)...)
	// An empty part says nothing, and between processes its content would look
	// like one that the sender lacks: the document would never be assembled.
	parts = slices.DeleteFunc(parts, func(p PartBytes) bool { return len(p.bytes) == 0 })
	slices.SortFunc(parts, func(a, b PartBytes) int { return cmp.Compare(a.part.GetName(), b.part.GetName()) })
	return parts
}

// newShards returns as many empty pieces as the count of members asks for.
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

// withoutCustomers cuts the lists of customers off the items, which belong to
// the caller.
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

func splitCustomers(whole *wire.Document) []*wire.Document {
	shards := newShards(len(whole.GetCustomers()))
	for _, customer := range whole.GetCustomers() {
		piece := shardOf(customer.GetName(), shards)
		piece.Customers = append(piece.Customers, customer)
	}
	for _, model := range whole.GetModels() {
		for _, customer := range model.GetCustomers() {
			piece := shardOf(customer, shards)
			piece.Models = allow(piece.Models, &wire.Model{Name: model.GetName(), Customers: []string{customer}})
		}
	}
	for _, service := range whole.GetServices() {
		for _, customer := range service.GetCustomers() {
			piece := shardOf(customer, shards)
			piece.Services = allow(piece.Services, &wire.Service{Name: service.GetName(), Customers: []string{customer}})
		}
	}
	return shards
}

// allow merges an item into the last one where that has its name, else appends
// it.
func allow[T interface {
	named
	proto.Message
}](items []T, item T) []T {
	if last := len(items) - 1; last >= 0 && items[last].GetName() == item.GetName() {
		proto.Merge(items[last], item)
		return items
	}
	return append(items, item)
}

// shardCount returns the power of two whose square reaches the members.
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
	// Marshal fails only for text that is not UTF-8; Parse lets none in.
	content, err := proto.MarshalOptions{Deterministic: true}.Marshal(piece)
	if err != nil {
		panic("document: " + name + " cannot be encoded: " + err.Error())
	}
	return PartBytes{
		part:  &wire.Part{Name: name, Hash: HashBytes(content), Size: uint32(len(content))},
		bytes: content,
	}
}

// HashBytes returns the BLAKE3 of a part's bytes, hexadecimal.
func HashBytes(content []byte) string {
	sum := blake3.Sum256(content)
	return hex.EncodeToString(sum[:])
}

// ContentHash returns the hash of the whole content: equal for two documents
// exactly where they mean the same.
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

// Parts returns the names, hashes and sizes for a root.
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
