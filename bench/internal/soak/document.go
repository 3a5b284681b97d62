package soak

import (
	"context"
	"errors"

	"comfreyrelay.example/bench/internal/deployment"
	"comfreyrelay.example/relay/wire"
)

// errNoEntry: no entry answers operators.
var errNoEntry = errors.New("no entry answers operators")

// inForce asks every entry that answers and returns the newest document.
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

// anyEntry returns an entry to submit to, another each time.
func (r *run) submissionEntry() *deployment.Member {
	entries := r.deployment.Entries()
	return entries[int(r.seed)%len(entries)]
}
