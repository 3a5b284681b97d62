package document

import (
	"fmt"

	"google.golang.org/protobuf/proto"

	"comfreyrelay.example/relay/failure"
	"comfreyrelay.example/relay/wire"
)

// maxParts is the maximum number of parts in a root: the unsharded sections and
// all shards of the two sharded ones.
const maxParts = 4 + 2*maxShards

// Join assembles a document from its parts. get returns the content of the part
// with the given hash, or nil if it is not available. Join verifies the hash of
// every part, so that a corrupt or truncated part is never applied.
func Join(root *wire.Root, get func(hash string) []byte) (*wire.Document, error) {
	if len(root.GetParts()) > maxParts {
		return nil, failure.New(failure.Corrupt, fmt.Sprintf("revision %d lists %d parts, more than %d",
			root.GetRevision(), len(root.GetParts()), maxParts), "submit the document again")
	}
	doc := &wire.Document{}
	for _, part := range root.GetParts() {
		piece, err := readPart(part, get(part.GetHash()))
		if err != nil {
			return nil, err
		}
		proto.Merge(doc, piece)
	}
	doc.Models = mergeByName(doc.GetModels())
	doc.Services = mergeByName(doc.GetServices())
	return Canonical(doc), nil
}

// mergeByName merges the items that have the same name in several parts.
func mergeByName[T interface {
	named
	proto.Message
}](items []T) []T {
	sortByName(items)
	var merged []T
	for _, item := range items {
		merged = mergeOrAppend(merged, item)
	}
	return merged
}

func readPart(part *wire.Part, content []byte) (*wire.Document, error) {
	if content == nil {
		return nil, failure.New(failure.Unavailable, "the part "+part.GetName()+" of the document is missing",
			"wait for another process to send it, or submit the document again")
	}
	if HashBytes(content) != part.GetHash() {
		return nil, failure.New(failure.Corrupt, "the part "+part.GetName()+" of the document does not match its hash",
			"fetch it again from the store or another process")
	}
	piece := &wire.Document{}
	if err := proto.Unmarshal(content, piece); err != nil {
		return nil, failure.Wrap(err, failure.Corrupt, "the part "+part.GetName()+" of the document cannot be read",
			"submit the document again")
	}
	return piece, nil
}

// MissingHashes returns the hashes of the root's parts for which have returns false, in
// the root's order and without duplicates.
func MissingHashes(root *wire.Root, have func(hash string) bool) []string {
	var hashes []string
	seen := map[string]bool{}
	for _, part := range root.GetParts() {
		hash := part.GetHash()
		if seen[hash] || have(hash) {
			continue
		}
		seen[hash] = true
		hashes = append(hashes, hash)
	}
	return hashes
}
