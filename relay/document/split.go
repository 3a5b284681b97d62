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

// Sections of the stored document; customers are in shards behind a slash.
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

// Split cuts a document into parts, ordered by name. The change of one
// customer moves one part only: customers are sharded by the hash of their
// names, into about as many shards as each shard has members, which keeps the
// sum of root and changed part small.
func Split(doc *wire.Document) []PartBytes {
	whole := Canonical(doc)
	parts := []PartBytes{
		makePart(sectionHead, &wire.Document{
			Schema: whole.GetSchema(), Objective: whole.GetObjective(),
			OriginCopies: whole.GetOriginCopies(), Deadlines: whole.GetDeadlines(),
		}),
		makePart(sectionModels, &wire.Document{Models: whole.GetModels()}),
		makePart(sectionEndpoints, &wire.Document{Endpoints: whole.GetEndpoints()}),
		makePart(sectionServices, &wire.Document{Services: whole.GetServices()}),
		makePart(sectionOperators, &wire.Document{Operators: whole.GetOperators()}),
	}
	for i, members := range shard(whole.GetCustomers()) {
		parts = append(parts, makePart(fmt.Sprintf("%s/%02d", sectionCustomers, i), &wire.Document{Customers: members}))
	}
	slices.SortFunc(parts, func(a, b PartBytes) int { return cmp.Compare(a.part.GetName(), b.part.GetName()) })
	return parts
}

func shard(customers []*wire.Customer) [][]*wire.Customer {
	shards := make([][]*wire.Customer, shardCount(len(customers)))
	for _, customer := range customers {
		i := xxhash.Sum64String(customer.GetName()) % uint64(len(shards))
		shards[i] = append(shards[i], customer)
	}
	return shards
}

// shardCount returns the power of two whose square reaches the customers.
func shardCount(customers int) int {
	count := 1
	for count*count < customers && count < maxShards {
		count *= 2
	}
	return count
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
