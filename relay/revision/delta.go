package revision

import (
	"cmp"
	"slices"

	"comfreyrelay.example/relay/wire"
)

// Slim returns the copy of root that is sent between processes. Of the audit
// record it keeps only the fields that distinguish two roots; the rest stays in
// the service.
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

// Delta encodes next as the parts that were added, changed or removed since base.
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

// Expand reconstructs the complete root from a received one, which may be a
// delta. It returns nil if the delta is based on a revision other than held's.
// It does not verify the result: the content hash does.
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
