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
	// maxBatchBytes bounds the parts asked for in one call.
	maxBatchBytes = 2 << 20
	// maxOfferBytes bounds the parts sent along to an entry that lacks them.
	maxOfferBytes = 3 << 20
	// maxClockGap is the gap between two looks at the clock that shows that the
	// process was paused or the clock jumped.
	maxClockGap = 3 * time.Second
)

// knowledge is what the agent has in force and whom it knows.
type knowledge struct {
	mu             sync.Mutex
	state          revision.State
	document       *wire.Document    // joined from the root in force
	parts          map[string][]byte // of the root in force, by hash
	table          *membership.Table
	listed         []membership.Listed // last answer of the list that was not empty
	lastClockCheck time.Time           // last look at the clock
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

func (k *knowledge) isBehind(known *wire.Known) bool {
	k.mu.Lock()
	defer k.mu.Unlock()
	return k.state.Offers(known)
}

// age returns how long ago the service last confirmed the document to anyone.
func (k *knowledge) age(now time.Time) (time.Duration, bool) {
	k.mu.Lock()
	defer k.mu.Unlock()
	return k.state.Age(now)
}

// hearMembers takes what a reply says of hosts and entries.
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

func (k *knowledge) observeList(listed []membership.Listed, now time.Time) {
	k.mu.Lock()
	defer k.mu.Unlock()
	k.table.ObserveList(listed, len(listed), now)
	if len(listed) > 0 {
		k.listed = listed
	}
}

// leaving reports whether the list or an operator says that the host leaves.
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

// agents returns the agents of the list and of the reports that are not lost.
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

// hosts returns the hosts known, by id. The home entries' reports count for
// whether they are lost.
func (k *knowledge) hosts(now time.Time) []view.Host {
	drained := map[string]bool{}
	for _, id := range k.state.Drains().GetHosts() {
		drained[id] = true
	}
	hosts := k.table.Hosts(now, membership.Outlook{Drained: drained, HostCount: k.table.Len()})
	membership.SortHosts(hosts)
	return hosts
}

// peers returns the entries known, by id.
func (k *knowledge) peers(now time.Time) []view.Peer {
	peers := k.table.Entries(now, k.table.Len())
	membership.SortEntries(peers)
	return peers
}

// entries returns the entries to choose a home from and those that leave.
func (k *knowledge) entries(now time.Time) (nodes []*wire.Node, leaving map[string]bool) {
	k.mu.Lock()
	defer k.mu.Unlock()
	return k.table.Reachable(now), draining(k.peers(now))
}

// adopt takes what is newer in a reply. Missing parts are fetched with the
// function given. What is older is ignored: nothing in force ever falls.
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

func countIgnored(verdict revision.Verdict) int {
	if verdict == revision.Older || verdict == revision.Contradiction {
		return 1
	}
	return 0
}

func (k *knowledge) adoptRoot(ctx context.Context, root *wire.Root,
	fetch func(ctx context.Context, hashes []string) ([][]byte, error)) (revision.Verdict, error) {
	k.mu.Lock()
	verdict := k.state.JudgeRoot(root)
	whole := revision.Expand(k.state.Root(), root)
	parts := make(map[string][]byte, len(k.parts))
	for hash, content := range k.parts {
		parts[hash] = content
	}
	k.mu.Unlock()
	if verdict == revision.Contradiction {
		return verdict, failure.New(failure.Internal, "an entry sent another content of the revision in force",
			"compare the audit trail with the entries' revisions")
	}
	// A difference from another revision than ours was made before another
	// call's reply came into force; the next reply fits.
	if verdict != revision.Newer || whole == nil {
		return verdict, nil
	}
	root = whole
	if document.ContentHash(root.GetParts()) != root.GetAudit().GetContentHash() {
		return verdict, failure.New(failure.Corrupt, "an entry sent a root whose parts are not its content",
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

// fetchParts adds the parts of the root that are missing, in batches.
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

func addParts(parts map[string][]byte, hashes []string, contents [][]byte) error {
	for i, hash := range hashes {
		if i >= len(contents) || document.HashBytes(contents[i]) != hash {
			return failure.New(failure.Corrupt, "an entry lacks a part of the document or sent a wrong one",
				"it is asked for again")
		}
		parts[hash] = contents[i]
	}
	return nil
}

func selectParts(root *wire.Root, parts map[string][]byte) map[string][]byte {
	kept := make(map[string][]byte, len(root.GetParts()))
	for _, part := range root.GetParts() {
		kept[part.GetHash()] = parts[part.GetHash()]
	}
	return kept
}

// offer returns the root and its parts for an entry that knows less; nil where
// it knows as much or the parts are too large for one message.
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

// snapshot returns the present knowledge for the rest of the process.
func (k *knowledge) snapshot(now time.Time) *view.Snapshot {
	k.mu.Lock()
	defer k.mu.Unlock()
	if jump := now.Sub(k.lastClockCheck); jump > maxClockGap || jump < 0 {
		k.table.Adjust(jump)
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
