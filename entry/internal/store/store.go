// Package store keeps the accepted documents in the platform's key-value
// service. It stores parts by content hash, the root that references the parts
// of the document in force, and an audit trail with all earlier roots.
//
// A submission writes the new parts, then the audit record of the root in force
// if it is missing, and then swaps the root, which contains its own audit record.
// Every visible revision therefore has an audit record: the newest one in the
// root, each older one under its own key. No record exists for a document that
// was not accepted. Writing a new root's record before the swap would break this
// when the swap fails because another operator's submission came first.
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

// Keys in the key-value service.
const (
	RootKey     = "document/root"
	PartsPrefix = "document/parts/"
	auditPrefix = "document/audit/"
)

// KeptRevisions is the number of revisions, including the one in force, whose
// parts are kept. Rollbacks and diffs work only for these revisions.
const KeptRevisions = 200

func partKey(hash string) string { return PartsPrefix + hash }

func auditKey(revision uint32) string { return fmt.Sprintf("%s%010d", auditPrefix, revision) }

// Store reads and writes documents in the key-value service.
type Store struct {
	kv    *kv.Store
	parts *PartCache
	clock clockwork.Clock
	log   *slog.Logger
	// runAsync runs work that the submitter does not wait for. Tests replace it to
	// run the work synchronously.
	runAsync func(work func())
}

// New returns a Store backed by the key-value service.
func New(service *kv.Store, parts *PartCache, clock clockwork.Clock, log *slog.Logger) *Store {
	return &Store{kv: service, parts: parts, clock: clock, log: log, runAsync: func(work func()) { go work() }}
}

// Parts returns the part cache.
func (s *Store) Parts() *PartCache { return s.parts }

// versionedRoot is a root with the revision of its key in the key-value service.
type versionedRoot struct {
	root       *wire.Root // nil if no document was accepted
	kvRevision uint64     // 0 if the key does not exist
}

// Root reads the root from the key-value service. It returns nil if no document
// was accepted yet.
func (s *Store) Root(ctx context.Context) (*wire.Root, error) {
	current, err := s.readRoot(ctx)
	return current.root, err
}

// readRoot reads the root and the revision of its key.
func (s *Store) readRoot(ctx context.Context) (versionedRoot, error) {
	entry, found, err := s.kv.Get(ctx, RootKey)
	if err != nil || !found {
		return versionedRoot{}, err
	}
	root, err := DecodeRoot(entry.Value())
	return versionedRoot{root: root, kvRevision: entry.Revision()}, err
}

// DecodeRoot decodes the value of the root key or of an audit key.
func DecodeRoot(value []byte) (*wire.Root, error) {
	root := &wire.Root{}
	if err := proto.Unmarshal(value, root); err != nil || root.GetRevision() == 0 {
		return nil, failure.New(failure.Corrupt, "cannot decode a stored document root",
			"restore the key-value service's keys below document/ from its backup")
	}
	return root, nil
}

// Fetch returns the parts with the given hashes, in order, from the cache or the
// key-value service.
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

// fetchPart returns one part from the cache or the key-value service.
func (s *Store) fetchPart(ctx context.Context, hash string) ([]byte, error) {
	if content := s.parts.Get(hash); content != nil {
		return content, nil
	}
	entry, found, err := s.kv.Get(ctx, partKey(hash))
	if err != nil {
		return nil, err
	}
	if !found {
		return nil, failure.New(failure.NotFound, "document part "+hash+" is not in the key-value service",
			fmt.Sprintf("only the last %d revisions keep their parts; choose a later one", KeptRevisions))
	}
	if !s.parts.Add(hash, entry.Value()) {
		return nil, failure.New(failure.Corrupt, "document part "+hash+" does not match its hash",
			"restore the key from the key-value service's backup, or submit the document again")
	}
	return entry.Value(), nil
}

// Assemble returns the document that the root references, or an empty one for a
// nil root.
func (s *Store) Assemble(ctx context.Context, root *wire.Root) (*wire.Document, error) {
	if root == nil {
		return &wire.Document{}, nil
	}
	contents := map[string][]byte{}
	for _, hash := range document.MissingHashes(root, func(string) bool { return false }) {
		content, err := s.fetchPart(ctx, hash)
		if err != nil {
			return nil, err
		}
		contents[hash] = content
	}
	return document.Join(root, func(hash string) []byte { return contents[hash] })
}

// Revision returns the root and the document of one revision. Revision 0 is an
// empty document without a root.
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

// RootOf returns the root of one revision, from its audit key or the root key.
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
