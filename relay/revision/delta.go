package revision

import (
	"cmp"
	"slices"

	"comfreyrelay.example/relay/wire"
)

// Slim returns the root as it travels between processes: the audit record
// stays in the service, but for what distinguishes two roots.
func Slim(root *wire.Root) *wire.Root {
	return &wire.Root{
		Revision:     root.GetRevision(),
		Parts:        root.GetParts(),
		SubmissionId: root.GetSubmissionId(),
		Audit: &wire.Audit{
			Revision:    root.GetAudit().GetRevision(),
			ContentHash: root.GetAudit().GetContentHash(),
		},
	}
}

// Delta returns next as its difference from base.
func Delta(base, next *wire.Root) *wire.Root {
	delta := &wire.Root{
		Revision:     next.GetRevision(),
		SubmissionId: next.GetSubmissionId(),
		Audit:        next.GetAudit(),
		DeltaBase:    base.GetRevision(),
	}
	held := map[string]string{}
	for _, part := range base.GetParts() {
		held[part.GetName()] = part.GetHash()
	}
	for _, part := range next.GetParts() {
		if held[part.GetName()] != part.GetHash() {
			delta.Parts = append(delta.Parts, part)
		}
		delete(held, part.GetName())
	}
	for name := range held {
		delta.Removed = append(delta.Removed, name)
	}
	slices.Sort(delta.Removed)
	return delta
}

// Expand returns the whole root for a received one; nil where it is a
// difference from another revision than the one held. Whether the result is
// right its content hash shows.
func Expand(held, root *wire.Root) *wire.Root {
	if root == nil || root.GetDeltaBase() == 0 {
		return root
	}
	if held.GetRevision() != root.GetDeltaBase() {
		return nil
	}
	whole := &wire.Root{Revision: root.GetRevision(), SubmissionId: root.GetSubmissionId(), Audit: root.GetAudit()}
	gone := map[string]bool{}
	for _, name := range root.GetRemoved() {
		gone[name] = true
	}
	for _, part := range root.GetParts() {
		gone[part.GetName()] = true
		whole.Parts = append(whole.Parts, part)
	}
	for _, part := range held.GetParts() {
		if !gone[part.GetName()] {
			whole.Parts = append(whole.Parts, part)
		}
	}
	slices.SortFunc(whole.Parts, func(a, b *wire.Part) int { return cmp.Compare(a.GetName(), b.GetName()) })
	return whole
}
