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
	// sessionTimeout is the time without calls after which a node's session is dropped.
	sessionTimeout = 2 * time.Minute
	// minRefreshEntry and minRefreshAgent are the minimum ages at which an
	// unchanged host report is sent again to an entry and to an agent. With many
	// hosts, the age is the per-host time multiplied by the number of hosts. Two
	// refreshes fit into the silence that membership allows for a host that
	// reports to another entry.
	minRefreshEntry     = 10 * time.Second
	minRefreshAgent     = 30 * time.Second
	refreshEntryPerHost = 100 * time.Millisecond
	refreshAgentPerHost = 300 * time.Millisecond
	// minRelayAge is the minimum age at which the report of a third entry is
	// relayed again. With many entries, the age is relayPerEntry multiplied by the
	// number of entries. Two relays fit into the silence that membership allows
	// for an entry.
	minRelayAge   = 15 * time.Second
	relayPerEntry = 75 * time.Millisecond
	// relayToAgent is that age for agents, which only need to know which entries
	// exist. Two relays fit into the time after which an agent forgets an entry
	// that is not in the platform's list.
	relayToAgent = 30 * time.Second
	// agentBytesPerSecond and agentBurst limit the host reports sent to one agent.
	agentBytesPerSecond = 1 << 10
	agentBurst          = 64 << 10
)

// session tracks what was exchanged with one other node, in calls of either direction.
type session struct {
	node *wire.Node // identity and location; incarnation and addresses may be outdated

	mu             sync.Mutex
	hosts          *spread.Digest
	entries        *spread.EntryDigest
	agentAllowance *spread.Allowance // used for agents only; entries share the allowance of the Exchange
	// wanted holds the ids of hosts and entries whose whole report must be
	// requested from the node; at most maxWanted.
	wanted map[string]bool
	// knowsSelf is true while the node has this process's description.
	knowsSelf bool
}

// maxWanted limits the whole reports requested in one message.
const maxWanted = 512

// requestWhole records that the node must send the whole report of the host or entry.
func (s *session) requestWhole(id string) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if len(s.wanted) < maxWanted {
		s.wanted[id] = true
	}
}

// takeWanted returns the ids to request in the next message and clears them. If
// that message is lost, the next partial report makes the gap visible again.
func (s *session) takeWanted() []string {
	s.mu.Lock()
	defer s.mu.Unlock()
	ids := slices.Sorted(maps.Keys(s.wanted))
	clear(s.wanted)
	return ids
}

// hasWanted reports whether there is anything to request; a call is not held then.
func (s *session) hasWanted() bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	return len(s.wanted) > 0
}

// resendWhole marks the ids that the node requested, so that their whole reports are
// sent next.
func (s *session) resendWhole(ids []string) {
	s.mu.Lock()
	defer s.mu.Unlock()
	for _, id := range ids[:min(len(ids), maxWanted)] {
		s.hosts.Invalidate(id)
		s.entries.InvalidateDescription(id)
	}
}

// observeReplyWanted applies the ids that the node requests in a reply. If they
// include this process, the node does not have its description.
func (s *session) observeReplyWanted(ids []string, self string) {
	s.resendWhole(ids)
	s.mu.Lock()
	defer s.mu.Unlock()
	s.knowsSelf = !slices.Contains(ids, self)
}

// trackedSession is a session with the data that decides whether it is kept.
type trackedSession struct {
	*session

	incarnation string // empty until the node's incarnation is known
	seen        time.Time
}

// sessions holds one session for each node that calls or is called.
type sessions struct {
	mu   sync.Mutex
	byID map[string]*trackedSession
}

func newSessions() *sessions { return &sessions{byID: map[string]*trackedSession{}} }

// forNode returns the node's session, and creates it if needed. A new incarnation
// of the node gets an empty session, because it has nothing of what was sent to
// the old one.
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

// restarted reports whether the incarnations are both known and differ.
func restarted(held, seen string) bool { return held != "" && seen != "" && held != seen }

// refreshFor returns the age at which an unchanged host report is sent again to
// the node, in a deployment with the given number of hosts.
func refreshFor(node *wire.Node, hosts int) time.Duration {
	if isAgent(node) {
		return max(minRefreshAgent, time.Duration(hosts)*refreshAgentPerHost)
	}
	return max(minRefreshEntry, time.Duration(hosts)*refreshEntryPerHost)
}

// relayFor returns the age at which the report of a third entry is relayed to the
// node again, in a deployment with the given number of entries.
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

// forget drops the state of hosts and entries that are no longer known. Without
// it, memory would grow with every host that ever existed.
func (s *sessions) forget(known func(id string) bool) {
	s.mu.Lock()
	held := make([]*session, 0, len(s.byID))
	for _, tracked := range s.byID {
		held = append(held, tracked.session)
	}
	s.mu.Unlock()
	for _, sess := range held {
		sess.mu.Lock()
		sess.hosts.Prune(known)
		sess.entries.Prune(known)
		sess.mu.Unlock()
	}
}

// rememberedHosts returns the number of hosts tracked, summed over all sessions.
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

// prune drops the sessions that were not used for longer than sessionTimeout.
func (s *sessions) prune(now time.Time) {
	s.mu.Lock()
	defer s.mu.Unlock()
	for id, held := range s.byID {
		if now.Sub(held.seen) > sessionTimeout {
			delete(s.byID, id)
		}
	}
}
