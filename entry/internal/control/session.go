package control

import (
	"maps"
	"slices"
	"sync"
	"time"

	"comfreyrelay.example/relay/spread"
	"comfreyrelay.example/relay/wire"
)

const (
	// sessionTimeout ends the memory of a node that no longer calls.
	sessionTimeout = 2 * time.Minute
	// refreshEntry and refreshAgent are the least ages at which an unchanged
	// report is sent again to an entry and to an agent; with many hosts the age
	// is the time for each host. Two refreshes fit into the silence that
	// membership allows about a far host.
	minRefreshEntry     = 10 * time.Second
	minRefreshAgent     = 30 * time.Second
	refreshEntryPerHost = 100 * time.Millisecond
	refreshAgentPerHost = 300 * time.Millisecond
	// relayEntries is the least age at which the report of a third entry is
	// passed on again; with many entries the age is the time for each. Two fit
	// into the silence that membership allows about an entry.
	minRelayAge   = 15 * time.Second
	relayPerEntry = 75 * time.Millisecond
	// relayToAgent is the same towards agents, which only need to know which
	// entries there are; two fit into the time after which an agent forgets an
	// entry that the list lacks.
	relayToAgent = 30 * time.Second
	// agentBytesPerSecond and agentBurst bound the reports sent to one agent.
	agentBytesPerSecond = 1 << 10
	agentBurst          = 64 << 10
)

// session remembers what was sent to one other node, by calls in either direction.
type session struct {
	node *wire.Node // who it is and where; incarnation and addresses may be old

	mu             sync.Mutex
	hosts          *spread.Digest
	entries        *spread.EntryDigest
	agentAllowance *spread.Allowance // agents only; entries share the process's
	// wanted are the hosts and entries whose whole report is missing here; at most maxWanted.
	wanted map[string]bool
	// knowsUs: the node has this process's description.
	knowsSelf bool
}

// maxWanted bounds the whole reports asked for in one message.
const maxWanted = 512

// want notes that the node should send the host's whole report.
func (s *session) requestWhole(id string) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if len(s.wanted) < maxWanted {
		s.wanted[id] = true
	}
}

// takeWanted returns what to ask for in the next message, and forgets it: where
// that message is lost the next amendment shows the lack again.
func (s *session) takeWanted() []string {
	s.mu.Lock()
	defer s.mu.Unlock()
	ids := slices.Sorted(maps.Keys(s.wanted))
	clear(s.wanted)
	return ids
}

// wants reports whether there is something to ask for: a call is not held then.
func (s *session) hasWanted() bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	return len(s.wanted) > 0
}

// loseWanted takes the hosts that the node asks for.
func (s *session) resendWhole(ids []string) {
	s.mu.Lock()
	defer s.mu.Unlock()
	for _, id := range ids[:min(len(ids), maxWanted)] {
		s.hosts.Lose(id)
		s.entries.Lose(id)
	}
}

// hearWanted takes what the node asks for in an answer to this process.
func (s *session) observeReplyWanted(ids []string, self string) {
	s.resendWhole(ids)
	s.mu.Lock()
	defer s.mu.Unlock()
	s.knowsSelf = !slices.Contains(ids, self)
}

// visit is a session with what its owner needs to keep or end it.
type trackedSession struct {
	*session

	incarnation string // empty while only called, never seen
	seen        time.Time
}

// sessions holds the session of each node that calls or is called.
type sessions struct {
	mu   sync.Mutex
	byID map[string]*trackedSession
}

func newSessions() *sessions { return &sessions{byID: map[string]*trackedSession{}} }

// of returns the node's session; a new incarnation starts with an empty one,
// since it remembers nothing of what was sent to the old one.
func (s *sessions) forNode(node *wire.Node, now time.Time) *session {
	s.mu.Lock()
	defer s.mu.Unlock()
	found := s.byID[node.GetId()]
	if found == nil || restarted(found.incarnation, node.GetIncarnation()) {
		found = &trackedSession{session: newSession(node, now)}
		s.byID[node.GetId()] = found
	}
	if node.GetIncarnation() != "" {
		found.incarnation = node.GetIncarnation()
	}
	found.seen = now
	return found.session
}

func restarted(held, seen string) bool { return held != "" && seen != "" && held != seen }

// refreshFor returns the age at which an unchanged report is sent again to the
// node, in a deployment of the number of hosts.
func refreshFor(node *wire.Node, hosts int) time.Duration {
	if isAgent(node) {
		return max(minRefreshAgent, time.Duration(hosts)*refreshAgentPerHost)
	}
	return max(minRefreshEntry, time.Duration(hosts)*refreshEntryPerHost)
}

// relayFor returns the age at which the report of a third entry is passed on to
// the node again, in a deployment of the number of entries.
func relayFor(node *wire.Node, entries int) time.Duration {
	if isAgent(node) {
		return relayToAgent
	}
	return max(minRelayAge, time.Duration(entries)*relayPerEntry)
}

func newSession(node *wire.Node, now time.Time) *session {
	return &session{
		node:           node,
		hosts:          spread.NewDigest(refreshFor(node, 0), !isAgent(node)),
		entries:        spread.NewEntryDigest(relayFor(node, 0)),
		agentAllowance: spread.NewAllowance(agentBytesPerSecond, agentBurst, now),
		wanted:         map[string]bool{},
	}
}

// forget drops what is remembered of hosts and entries that are no longer known:
// without it, memory would grow with every host that ever was.
func (s *sessions) forget(known func(id string) bool) {
	s.mu.Lock()
	held := make([]*session, 0, len(s.byID))
	for _, tracked := range s.byID {
		held = append(held, tracked.session)
	}
	s.mu.Unlock()
	for _, sess := range held {
		sess.mu.Lock()
		sess.hosts.Forget(known)
		sess.entries.Forget(known)
		sess.mu.Unlock()
	}
}

// remembered returns the number of hosts remembered for all receivers.
func (s *sessions) rememberedHosts() int {
	s.mu.Lock()
	defer s.mu.Unlock()
	count := 0
	for _, tracked := range s.byID {
		tracked.mu.Lock()
		count += tracked.hosts.Len()
		tracked.mu.Unlock()
	}
	return count
}

// prune ends the sessions of nodes that have not called for a while.
func (s *sessions) prune(now time.Time) {
	s.mu.Lock()
	defer s.mu.Unlock()
	for id, held := range s.byID {
		if now.Sub(held.seen) > sessionTimeout {
			delete(s.byID, id)
		}
	}
}
