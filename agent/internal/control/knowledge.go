package control

import (
	"context"
	"slices"
	"sync"
	"time"

	"comfreyrelay.example/relay/document"
	"comfreyrelay.example/relay/failure"
	"comfreyrelay.example/relay/membership"
	"comfreyrelay.example/relay/revision"
	"comfreyrelay.example/relay/view"
	"comfreyrelay.example/relay/wire"
)

const (
	// maxBatchBytes bounds the total size of the parts requested in one call.
	maxBatchBytes = 2 << 20
	// maxOfferBytes bounds the total size of the parts sent to an entry that has
	// an older document.
	maxOfferBytes = 3 << 20
	// maxClockGap is the longest expected time between two clock readings. A
	// longer one means that the process was paused or the clock jumped.
	maxClockGap = 3 * time.Second
)

// knowledge holds the agent's current document and plan and the hosts and
// entries that it knows.
type knowledge struct {
	mu             sync.Mutex
	state          revision.State
	document       *wire.Document    // assembled from the parts of the current root
	parts          map[string][]byte // parts of the current root, by hash
	table          *membership.Table
	listed         []membership.Listed // last non-empty host list
	lastClockCheck time.Time           // time of the last snapshot, to detect clock jumps
}

func newKnowledge(now time.Time) *knowledge {
	return &knowledge{
		parts:          map[string][]byte{},
		table:          membership.New(membership.DefaultLimits()),
		lastClockCheck: now,
	}
}

func (k *knowledge) known(now time.Time) *wire.Known {
	k.mu.Lock()
	defer k.mu.Unlock()
	return k.state.Known(now)
}

// isBehind reports whether known has revisions that the agent lacks.
func (k *knowledge) isBehind(known *wire.Known) bool {
	k.mu.Lock()
	defer k.mu.Unlock()
	return k.state.Offers(known)
}

// age returns the time since the key-value service last confirmed the document
// to any process.
func (k *knowledge) age(now time.Time) (time.Duration, bool) {
	k.mu.Lock()
	defer k.mu.Unlock()
	return k.state.Age(now)
}

// observeMembers records the hosts and entries named in a reply.
func (k *knowledge) observeMembers(reply *wire.SyncReply, now time.Time) {
	k.mu.Lock()
	defer k.mu.Unlock()
	for _, report := range reply.GetHosts() {
		k.table.ObserveHost(report, now)
	}
	for _, report := range reply.GetEntries() {
		k.table.ObserveEntry(report, now)
	}
	if reply.GetFrom().GetId() != "" {
		k.table.ObserveEntry(&wire.EntryReport{Node: reply.GetFrom()}, now)
	}
}

// observeList records the host list. An empty list doesn't replace the last
// non-empty one.
func (k *knowledge) observeList(listed []membership.Listed, now time.Time) {
	k.mu.Lock()
	defer k.mu.Unlock()
	k.table.ObserveList(listed, len(listed), now)
	if len(listed) > 0 {
		k.listed = listed
	}
}

// leaving reports whether the host list or an operator marks the host as leaving.
func (k *knowledge) leaving(id string) bool {
	k.mu.Lock()
	defer k.mu.Unlock()
	if slices.Contains(k.state.Drains().GetHosts(), id) {
		return true
	}
	return slices.ContainsFunc(k.listed, func(host membership.Listed) bool {
		return host.Node.GetId() == id && host.State == membership.StateLeaving
	})
}

// agents returns the agents known from reports, except lost ones, and those
// known only from the host list.
func (k *knowledge) agents(self string, now time.Time) []*wire.Node {
	k.mu.Lock()
	defer k.mu.Unlock()
	var nodes []*wire.Node
	seen := map[string]bool{self: true}
	for _, host := range k.hosts(now) {
		node := host.Report().GetNode()
		if !host.Lost() && !seen[node.GetId()] {
			nodes = append(nodes, node)
		}
		seen[node.GetId()] = true
	}
	for _, host := range k.listed {
		if host.Node.GetRole() == "agent" && !seen[host.Node.GetId()] {
			seen[host.Node.GetId()] = true
			nodes = append(nodes, host.Node)
		}
	}
	return nodes
}

// hosts returns the known hosts, sorted by id. Whether a host is lost is decided
// by the reports of its home entry.
func (k *knowledge) hosts(now time.Time) []view.Host {
	drained := map[string]bool{}
	for _, id := range k.state.Drains().GetHosts() {
		drained[id] = true
	}
	hosts := k.table.Hosts(now, membership.ExternalState{Drained: drained, HostCount: k.table.Len()})
	membership.SortHosts(hosts)
	return hosts
}

// peers returns the known entries, sorted by id.
func (k *knowledge) peers(now time.Time) []view.Peer {
	peers := k.table.Entries(now, k.table.Len())
	membership.SortEntries(peers)
	return peers
}

// entries returns the reachable entries and the ids of those that are leaving.
func (k *knowledge) entries(now time.Time) (nodes []*wire.Node, leaving map[string]bool) {
	k.mu.Lock()
	defer k.mu.Unlock()
	return k.table.Reachable(now), draining(k.peers(now))
}

// adopt applies the newer items of a reply and fetches missing parts with fetch.
// Older items are ignored and counted: a revision in use never decreases.
func (k *knowledge) adopt(ctx context.Context, reply *wire.SyncReply, now time.Time,
	fetch func(ctx context.Context, hashes []string) ([][]byte, error)) (ignored int, err error) {
	if root := reply.GetRoot(); root != nil {
		verdict, rootErr := k.adoptRoot(ctx, root, fetch)
		err = rootErr
		ignored += countIgnored(verdict)
	}
	k.mu.Lock()
	defer k.mu.Unlock()
	if plan := reply.GetPlan(); plan != nil {
		ignored += countIgnored(k.state.AdoptPlan(plan))
	}
	if drains := reply.GetDrains(); drains != nil {
		ignored += countIgnored(k.state.AdoptDrains(drains))
	}
	k.state.ObserveKnown(reply.GetKnown(), now)
	return ignored, err
}

// countIgnored returns 1 if the verdict means that the item wasn't applied for
// being older or contradictory, else 0.
func countIgnored(verdict revision.Verdict) int {
	if verdict == revision.Older || verdict == revision.Contradiction {
		return 1
	}
	return 0
}

// adoptRoot verifies a newer root, fetches its missing parts and makes its
// document the current one.
func (k *knowledge) adoptRoot(ctx context.Context, root *wire.Root,
	fetch func(ctx context.Context, hashes []string) ([][]byte, error)) (revision.Verdict, error) {
	k.mu.Lock()
	verdict := k.state.CompareRoot(root)
	whole := revision.Expand(k.state.Root(), root)
	parts := make(map[string][]byte, len(k.parts))
	for hash, content := range k.parts {
		parts[hash] = content
	}
	k.mu.Unlock()
	if verdict == revision.Contradiction {
		return verdict, failure.New(failure.Internal, "an entry sent different content for the current revision",
			"compare the audit trail with the entries' revisions")
	}
	// A delta based on a revision other than the current one was made before the
	// reply to another call was applied. The next reply will match.
	if verdict != revision.Newer || whole == nil {
		return verdict, nil
	}
	root = whole
	if document.ContentHash(root.GetParts()) != root.GetAudit().GetContentHash() {
		return verdict, failure.New(failure.Corrupt, "an entry sent a root whose parts do not match its content hash",
			"it is asked for again")
	}
	if err := fetchParts(ctx, root, parts, fetch); err != nil {
		return verdict, err
	}
	doc, err := document.Join(root, func(hash string) []byte { return parts[hash] })
	if err != nil {
		return verdict, err
	}
	k.mu.Lock()
	defer k.mu.Unlock()
	if k.state.AdoptRoot(root) == revision.Newer {
		k.document = doc
		k.parts = selectParts(root, parts)
	}
	return verdict, nil
}

// fetchParts fetches the missing parts of the root in batches and adds them to
// parts.
func fetchParts(ctx context.Context, root *wire.Root, parts map[string][]byte,
	fetch func(ctx context.Context, hashes []string) ([][]byte, error)) error {
	var batch []string
	size := uint64(0)
	flush := func() error {
		if len(batch) == 0 {
			return nil
		}
		contents, err := fetch(ctx, batch)
		if err != nil {
			return err
		}
		err = addParts(parts, batch, contents)
		batch, size = nil, 0
		return err
	}
	for _, part := range root.GetParts() {
		if _, held := parts[part.GetHash()]; held {
			continue
		}
		if size+uint64(part.GetSize()) > maxBatchBytes {
			if err := flush(); err != nil {
				return err
			}
		}
		batch = append(batch, part.GetHash())
		size += uint64(part.GetSize())
	}
	return flush()
}

// addParts verifies the hash of each fetched part and adds it to parts.
func addParts(parts map[string][]byte, hashes []string, contents [][]byte) error {
	for i, hash := range hashes {
		if i >= len(contents) || document.HashBytes(contents[i]) != hash {
			return failure.New(failure.Corrupt, "an entry did not send a part of the document or sent a wrong one",
				"it is asked for again")
		}
		parts[hash] = contents[i]
	}
	return nil
}

// selectParts returns only those parts that belong to the root.
func selectParts(root *wire.Root, parts map[string][]byte) map[string][]byte {
	kept := make(map[string][]byte, len(root.GetParts()))
	for _, part := range root.GetParts() {
		kept[part.GetHash()] = parts[part.GetHash()]
	}
	return kept
}

// offer returns the root and its parts for an entry with an older revision. It
// returns nil if the entry is up to date or the parts exceed one message.
func (k *knowledge) offer(known *wire.Known) (*wire.Root, [][]byte) {
	k.mu.Lock()
	defer k.mu.Unlock()
	root := k.state.Root()
	if known == nil || root == nil || known.GetRevision() >= root.GetRevision() {
		return nil, nil
	}
	var contents [][]byte
	total := 0
	for _, part := range root.GetParts() {
		content := k.parts[part.GetHash()]
		total += len(content)
		contents = append(contents, content)
	}
	if total > maxOfferBytes {
		return nil, nil
	}
	return root, contents
}

// snapshot returns the current state for the rest of the process. After a pause
// or a clock jump it first adjusts the times of the membership table.
func (k *knowledge) snapshot(now time.Time) *view.Snapshot {
	k.mu.Lock()
	defer k.mu.Unlock()
	if jump := now.Sub(k.lastClockCheck); jump > maxClockGap || jump < 0 {
		k.table.ShiftLastSeen(jump)
	}
	k.lastClockCheck = now
	return &view.Snapshot{
		Revision:     k.state.Root().GetRevision(),
		PlanRevision: k.state.Plan().GetPlanRevision(),
		Document:     k.document,
		Plan:         k.state.Plan(),
		Hosts:        k.hosts(now),
		Entries:      k.peers(now),
		ConfirmedAt:  k.state.ConfirmedAt(),
	}
}
