package soak

import (
	"context"
	"errors"

	"comfreyrelay.example/bench/internal/deployment"
	"comfreyrelay.example/relay/wire"
)

// errNoEntry reports that no entry answered an operator request.
var errNoEntry = errors.New("no entry answers operators")

// newestDocument queries every entry and returns the document with the highest
// revision. It fails only if no entry answers.
func (r *run) newestDocument(ctx context.Context) (revision uint32, doc *wire.Document, err error) {
	err = errNoEntry
	for _, m := range r.deployment.Entries() {
		entryRevision, entryDoc, entryErr := r.deployment.InForce(ctx, m)
		if entryErr == nil && (doc == nil || entryRevision > revision) {
			revision, doc, err = entryRevision, entryDoc, nil
		}
	}
	return revision, doc, err
}

// submissionEntry returns the entry that receives the next submission. The
// choice rotates with r.seed, which each publication increments.
func (r *run) submissionEntry() *deployment.Member {
	entries := r.deployment.Entries()
	return entries[int(r.seed)%len(entries)]
}
