// Package store keeps the accepted documents in the platform's key-value
// service: parts by content hash, the root that names them and the trail of
// all roots before it.
//
// The order of writes is: new parts; the record of the root in force, where
// nobody has written it yet; then the swap of the root, which carries its own
// audit record. So every visible revision has its record (the newest one
// within the root, each older one under its own key), and no record names a
// document that was not accepted: a record written before the swap would, when
// the swap then loses against another operator.
package store

import (
	"context"
	"fmt"
	"log/slog"

	"github.com/jonboulle/clockwork"
	"google.golang.org/protobuf/proto"

	"comfreyrelay.example/relay/document"
	"comfreyrelay.example/relay/failure"
	"comfreyrelay.example/relay/kv"
	"comfreyrelay.example/relay/wire"
)

// Keys in the service.
const (
	RootKey     = "document/root"
	PartsPrefix = "document/parts/"
	auditPrefix = "document/audit/"
)

// KeptRevisions is how many revisions, the one in force included, keep their
// parts: to these an operator can roll back, and between these diff.
const KeptRevisions = 200

func partKey(hash string) string { return PartsPrefix + hash }

func auditKey(revision uint32) string { return fmt.Sprintf("%s%010d", auditPrefix, revision) }

// Store reads and writes documents.
type Store struct {
	kv    *kv.Store
	parts *Parts
	clock clockwork.Clock
	log   *slog.Logger
	// later runs work that the submitter does not wait for; tests run it at once.
	runAsync func(work func())
}

// New returns a Store over the service.
func New(service *kv.Store, parts *Parts, clock clockwork.Clock, log *slog.Logger) *Store {
	return &Store{kv: service, parts: parts, clock: clock, log: log, runAsync: func(work func()) { go work() }}
}

// Parts returns the cache.
func (s *Store) Parts() *Parts { return s.parts }

// heldRoot is a root as read, with its key's revision in the service.
type versionedRoot struct {
	root       *wire.Root // nil: there is none
	kvRevision uint64     // 0: the key does not exist
}

// Root reads the root from the service; nil where no document was accepted.
func (s *Store) Root(ctx context.Context) (*wire.Root, error) {
	current, err := s.readRoot(ctx)
	return current.root, err
}

func (s *Store) readRoot(ctx context.Context) (versionedRoot, error) {
	entry, found, err := s.kv.Get(ctx, RootKey)
	if err != nil || !found {
		return versionedRoot{}, err
	}
	root, err := DecodeRoot(entry.Value())
	return versionedRoot{root: root, kvRevision: entry.Revision()}, err
}

// DecodeRoot reads the value of the root key, or of a key of the trail.
func DecodeRoot(value []byte) (*wire.Root, error) {
	root := &wire.Root{}
	if err := proto.Unmarshal(value, root); err != nil || root.GetRevision() == 0 {
		return nil, failure.New(failure.Corrupt, "a stored document root cannot be read",
			"restore the key-value service's keys below document/ from its backup")
	}
	return root, nil
}

// Fetch returns the parts with the hashes, in order, from the cache or the
// service.
func (s *Store) Fetch(ctx context.Context, hashes []string) ([][]byte, error) {
	contents := make([][]byte, len(hashes))
	for i, hash := range hashes {
		content, err := s.fetchPart(ctx, hash)
		if err != nil {
			return nil, err
		}
		contents[i] = content
	}
	return contents, nil
}

func (s *Store) fetchPart(ctx context.Context, hash string) ([]byte, error) {
	if content := s.parts.Get(hash); content != nil {
		return content, nil
	}
	entry, found, err := s.kv.Get(ctx, partKey(hash))
	if err != nil {
		return nil, err
	}
	if !found {
		return nil, failure.New(failure.NotFound, "part "+hash+" of a document is not in the service",
			fmt.Sprintf("only the last %d revisions keep their parts; choose a later one", KeptRevisions))
	}
	if !s.parts.Add(hash, entry.Value()) {
		return nil, failure.New(failure.Corrupt, "part "+hash+" of a document does not match its hash",
			"restore the key from the service's backup, or submit the document again")
	}
	return entry.Value(), nil
}

// Assemble returns the document that the root names.
func (s *Store) Assemble(ctx context.Context, root *wire.Root) (*wire.Document, error) {
	if root == nil {
		return &wire.Document{}, nil
	}
	contents := map[string][]byte{}
	for _, hash := range document.Missing(root, func(string) bool { return false }) {
		content, err := s.fetchPart(ctx, hash)
		if err != nil {
			return nil, err
		}
		contents[hash] = content
	}
	return document.Join(root, func(hash string) []byte { return contents[hash] })
}

// Revision returns the root and the content of one revision.
func (s *Store) Revision(ctx context.Context, revision uint32) (*wire.Root, *wire.Document, error) {
	if revision == 0 {
		return nil, &wire.Document{}, nil
	}
	root, err := s.RootOf(ctx, revision)
	if err != nil {
		return nil, nil, err
	}
	doc, err := s.Assemble(ctx, root)
	return root, doc, err
}

// RootOf returns the root of one revision, from the trail or the root key.
func (s *Store) RootOf(ctx context.Context, revision uint32) (*wire.Root, error) {
	entry, found, err := s.kv.Get(ctx, auditKey(revision))
	if err != nil {
		return nil, err
	}
	if found {
		return DecodeRoot(entry.Value())
	}
	current, err := s.readRoot(ctx)
	if err != nil {
		return nil, err
	}
	if current.root.GetRevision() != revision || revision == 0 {
		return nil, failure.New(failure.NotFound, fmt.Sprintf("there is no revision %d", revision),
			"list the revisions with the audit call")
	}
	return current.root, nil
}
