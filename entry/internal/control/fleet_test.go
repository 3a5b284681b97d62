package control

import (
	"context"
	"fmt"
	"io"
	"log/slog"
	"math/rand/v2"
	"slices"
	"sync"
	"sync/atomic"
	"testing"
	"time"

	"github.com/jonboulle/clockwork"
	"google.golang.org/protobuf/proto"

	"comfreyrelay.example/entry/internal/store"
	"comfreyrelay.example/relay/document"
	"comfreyrelay.example/relay/failure"
	"comfreyrelay.example/relay/kv"
	"comfreyrelay.example/relay/lease"
	"comfreyrelay.example/relay/membership"
	"comfreyrelay.example/relay/node"
	"comfreyrelay.example/relay/revision"
	"comfreyrelay.example/relay/spread"
	"comfreyrelay.example/relay/view"
	"comfreyrelay.example/relay/wire"
)

// agentWait is how long the entry may hold an agent's call, in milliseconds.
const agentWait = 1000

// entryWait is how long an entry may hold another entry's call. Both constants are
// the defaults of the settings.
const entryWait = 2 * time.Second

// oneWayDelay is the one-way network delay between two processes of the fleet.
const oneWayDelay = 2 * time.Millisecond

// fleet simulates entries, agents and the service in one process, in fake time.
type fleet struct {
	t       *testing.T
	ctx     context.Context
	service *kv.Memory
	random  *rand.Rand

	mu      sync.Mutex
	entries map[string]*member
	agents  map[string]*fakeAgent
	// down makes the service unavailable to all. cutOff holds the partitioned
	// regions: their entries and agents reach neither other regions nor the service.
	down   bool
	cutOff map[string]bool
	// silentWatches makes watches report no changes. slow delays each call to the
	// service.
	silentWatches bool
	slow          time.Duration
	// busy makes agents send busyReport. bytes counts the messages unless nil.
	busy      bool
	bytes     *byteCounter
	reads     []time.Time
	writes    []time.Time
	accepted  map[uint32]time.Time
	inForce   map[uint32]map[string]time.Time // by revision, by process
	operators sync.WaitGroup
}

// member is one entry process of the fleet.
type member struct {
	fleet      *fleet
	node       *wire.Node
	deployment *Deployment
	server     *Server
	exchange   *Exchange
	docs       *store.Store
	view       *view.Holder
	watching   *Contender
	stop       context.CancelFunc
	ended      sync.WaitGroup
}

func newFleet(ctx context.Context, t *testing.T, seed uint64) *fleet {
	f := &fleet{
		t: t, ctx: ctx, service: kv.NewMemoryService(clockwork.NewRealClock()), random: rand.New(rand.NewPCG(seed, 7)),
		entries: map[string]*member{}, agents: map[string]*fakeAgent{}, cutOff: map[string]bool{},
		accepted: map[uint32]time.Time{}, inForce: map[uint32]map[string]time.Time{},
	}
	onInvariantViolation = func(rule string) { panic("invariant broke: " + rule) }
	return f
}

var regions = []string{"a", "b", "c"}

func regionOf(i int) string { return regions[i%len(regions)] }

// start starts the given numbers of entries and agents.
func (f *fleet) start(entries, agents int) {
	for i := range entries {
		f.startEntry(fmt.Sprintf("entry-%02d", i), regionOf(i))
	}
	for i := range agents {
		f.startAgent(fmt.Sprintf("agent-%03d", i), regionOf(i))
	}
}

// startEntry starts an entry process, or restarts it as a new incarnation.
func (f *fleet) startEntry(id, region string) *member {
	clock := clockwork.NewRealClock()
	log := slog.New(slog.NewTextHandler(io.Discard, nil))
	ctx, stop := context.WithCancel(f.ctx)
	m := &member{fleet: f, stop: stop, view: view.NewHolder()}
	m.node = node.Describe(&wire.NodeSettings{Id: id, Region: region, FailureDomain: region + "1", ControlAddress: id}, "entry", id)
	parts := store.NewPartCache(1 << 20)
	service := f.storeFor(region)
	m.docs = store.New(service, parts, clock, log)
	m.deployment = NewDeployment(m.node, parts, m.view, clock, log)
	self := NewSelf(m.node, func() int { return 0 }, func() []*wire.Demand { return nil }, m.deployment.Known, m.deployment.HomeRevision)
	exchange := NewExchange(m.deployment, self.Latest)
	m.exchange = exchange
	syncer := NewSyncer(exchange, nil, m.docs.Fetch, entryWait)
	syncer.call = func(ctx context.Context, to *wire.Node, req *wire.SyncRequest) (*wire.SyncReply, error) {
		return f.sync(ctx, region, to.GetId(), req)
	}
	syncer.parts = func(ctx context.Context, to *wire.Node, req *wire.PartsRequest) (*wire.PartsReply, error) {
		return f.parts(ctx, region, to.GetId(), req)
	}
	m.server = NewServer(exchange, Delegate{}, false, syncer.Pull)
	publisher := NewPublisher(m.deployment, self.Make)
	m.watching = NewContender("watch/"+m.node.GetFailureDomain(), m.deployment,
		func(other *wire.Node) bool { return other.GetFailureDomain() == m.node.GetFailureDomain() },
		func(ctx context.Context, name string) *lease.Holder {
			return lease.Run(ctx, service, clock, name, m.node.GetIncarnation(), 5*time.Second, time.Second, log)
		})
	watcher := NewWatcher(m.deployment, m.docs, service, func() bool { _, ok := m.watching.Holding(); return ok })
	f.mu.Lock()
	f.entries[id] = m
	f.mu.Unlock()
	f.listHosts()
	for _, run := range []func(context.Context){publisher.Run, syncer.Run, watcher.Run, m.watching.Run, m.trackRevisions} {
		m.ended.Go(func() { run(ctx) })
	}
	return m
}

// listHosts delivers the platform's host list to every entry.
func (f *fleet) listHosts() {
	f.mu.Lock()
	var list []membership.Listed
	for _, m := range f.entries {
		listed := withoutIncarnation(m.node)
		listed.ControlAddress = m.node.GetControlAddress()
		list = append(list, membership.Listed{Node: listed, State: membership.StateLive})
	}
	members := f.members()
	f.mu.Unlock()
	for _, m := range members {
		m.deployment.members.ObserveList(list, time.Now())
	}
}

// members returns the entries sorted by id; the caller holds mu.
func (f *fleet) members() []*member {
	var members []*member
	for _, m := range f.entries {
		members = append(members, m)
	}
	slices.SortFunc(members, func(a, b *member) int {
		if a.node.GetId() < b.node.GetId() {
			return -1
		}
		return 1
	})
	return members
}

// kill stops an entry process without a graceful shutdown.
func (f *fleet) kill(id string) {
	f.mu.Lock()
	m := f.entries[id]
	delete(f.entries, id)
	f.mu.Unlock()
	m.stop()
}

// trackRevisions records when each revision comes into force in the entry.
func (m *member) trackRevisions(ctx context.Context) {
	m.fleet.trackRevisions(ctx, m.node.GetId()+"/"+m.node.GetIncarnation(), m.view)
}

// trackRevisions records when each revision comes into force in the process, and
// panics if the revision decreases.
func (f *fleet) trackRevisions(ctx context.Context, process string, holder *view.Holder) {
	last := uint32(0)
	for ctx.Err() == nil {
		snap, changed := holder.Load()
		if snap.Revision < last {
			panic(fmt.Sprintf("%s fell from revision %d to %d", process, last, snap.Revision))
		}
		if snap.Revision > last {
			last = snap.Revision
			f.recordInForce(process, last)
		}
		select {
		case <-changed:
		case <-ctx.Done():
		}
	}
}

// recordInForce records that the revision is now in force in the process.
func (f *fleet) recordInForce(process string, rev uint32) {
	f.mu.Lock()
	defer f.mu.Unlock()
	if f.inForce[rev] == nil {
		f.inForce[rev] = map[string]time.Time{}
	}
	f.inForce[rev][process] = time.Now()
}

// connect returns the entry if a process of the region can reach it.
func (f *fleet) connect(ctx context.Context, region, id string) (*member, error) {
	time.Sleep(oneWayDelay)
	f.mu.Lock()
	defer f.mu.Unlock()
	m := f.entries[id]
	if m == nil || ctx.Err() != nil {
		return nil, failure.New(failure.Unavailable, "no entry listens at this address", "try another")
	}
	other := m.node.GetRegion()
	if other != region && (f.cutOff[region] || f.cutOff[other]) {
		return nil, failure.New(failure.Unavailable, "the network is partitioned", "wait")
	}
	return m, nil
}

// sync delivers a Sync call from a process of the region to an entry.
func (f *fleet) sync(ctx context.Context, region, to string, req *wire.SyncRequest) (*wire.SyncReply, error) {
	m, err := f.connect(ctx, region, to)
	if err != nil {
		return nil, err
	}
	kind, ends, bytes := f.countedAs(req.GetFrom())
	bytes.add(kind+" request", ends, req)
	reply, err := m.server.Sync(ctx, proto.CloneOf(req))
	if err != nil {
		return nil, err
	}
	bytes.add(kind+" reply", ends, reply)
	if _, err := f.connect(ctx, region, to); err != nil {
		return nil, err // partitioned in the meantime: the reply is lost
	}
	return proto.CloneOf(reply), nil
}

// parts delivers a Parts call from a process of the region to an entry.
func (f *fleet) parts(ctx context.Context, region, to string, req *wire.PartsRequest) (*wire.PartsReply, error) {
	m, err := f.connect(ctx, region, to)
	if err != nil {
		return nil, err
	}
	kind, ends, bytes := f.countedAs(req.GetFrom())
	bytes.add(kind+" parts request", ends, req)
	reply, err := m.server.Parts(ctx, req)
	bytes.add(kind+" parts reply", ends, reply)
	time.Sleep(oneWayDelay)
	return reply, err
}

// countedAs returns how the messages of a call are counted: the caller's kind, how
// many of the call's ends are entries, and the counter.
func (f *fleet) countedAs(from *wire.Node) (kind string, ends int, bytes *byteCounter) {
	f.mu.Lock()
	defer f.mu.Unlock()
	if isAgent(from) {
		return "agent", 1, f.bytes
	}
	return "entry", 2, f.bytes
}

// storeFor returns the service as the processes of a region reach it, with the
// faults of the fleet applied.
func (f *fleet) storeFor(region string) *kv.Store {
	backing := f.service.Store()
	admit := func(write bool) error {
		f.mu.Lock()
		if write {
			f.writes = append(f.writes, time.Now())
		} else {
			f.reads = append(f.reads, time.Now())
		}
		unavailable, slow := f.down || f.cutOff[region], f.slow
		f.mu.Unlock()
		time.Sleep(slow)
		if unavailable {
			time.Sleep(300 * time.Millisecond)
			return failure.New(failure.Unavailable, "the service is down", "wait")
		}
		time.Sleep(oneWayDelay)
		return nil
	}
	return &kv.Store{
		Get: func(ctx context.Context, key string) (kv.Entry, bool, error) {
			if err := admit(false); err != nil {
				return kv.Entry{}, false, err
			}
			return backing.Get(ctx, key)
		},
		List: func(ctx context.Context, prefix string) ([]kv.Entry, error) {
			if err := admit(false); err != nil {
				return nil, err
			}
			return backing.List(ctx, prefix)
		},
		Swap: func(ctx context.Context, key string, value []byte, at uint64, bound string) (uint64, error) {
			if err := admit(true); err != nil {
				return 0, err
			}
			return backing.Swap(ctx, key, value, at, bound)
		},
		Delete: func(ctx context.Context, key string, at uint64) error {
			if err := admit(true); err != nil {
				return err
			}
			return backing.Delete(ctx, key, at)
		},
		Watch: func(ctx context.Context, prefix string, after uint64, wait time.Duration) ([]kv.Entry, uint64, error) {
			if err := admit(false); err != nil {
				return nil, 0, err
			}
			return f.watch(ctx, backing, region, prefix, after, wait)
		},
		Grant: func(ctx context.Context, ttl time.Duration) (string, error) {
			if err := admit(true); err != nil {
				return "", err
			}
			return backing.Grant(ctx, ttl)
		},
		KeepAlive: func(ctx context.Context, bound string) error {
			if err := admit(true); err != nil {
				return err
			}
			return backing.KeepAlive(ctx, bound)
		},
		Revoke: func(ctx context.Context, bound string) error {
			if err := admit(true); err != nil {
				return err
			}
			return backing.Revoke(ctx, bound)
		},
	}
}

// watch delivers a watch of the service, with the faults of the fleet applied.
func (f *fleet) watch(ctx context.Context, backing *kv.Store, region, prefix string, after uint64, wait time.Duration) ([]kv.Entry, uint64, error) {
	f.mu.Lock()
	silent := f.silentWatches
	f.mu.Unlock()
	if silent && after != kv.Latest {
		sleep(ctx, clockwork.NewRealClock(), wait)
		return nil, after, nil
	}
	changes, now, err := backing.Watch(ctx, prefix, after, wait)
	f.mu.Lock()
	unavailable := f.down || f.cutOff[region]
	f.mu.Unlock()
	if unavailable {
		return nil, 0, failure.New(failure.Unavailable, "the connection broke", "watch again")
	}
	return changes, now, err
}

// submit submits a changed document through the entry as an operator and returns
// the new revision, or 0 if it was rejected.
func (f *fleet) submit(m *member, priority int) (uint32, error) {
	doc := document.Example()
	doc.Customers[0].Priority = uint32(priority)
	ctx, cancel := context.WithTimeout(f.ctx, 20*time.Second)
	defer cancel()
	root, err := m.docs.Submit(ctx, store.Submission{
		Document: doc, BaseRevision: m.deployment.Root().GetRevision(),
		SubmissionID: fmt.Sprintf("%s-%d-%d", m.node.GetId(), priority, time.Now().UnixNano()), Operator: "marta",
	})
	if err != nil {
		return 0, err
	}
	f.mu.Lock()
	f.accepted[root.GetRevision()] = time.Now()
	f.mu.Unlock()
	return root.GetRevision(), m.deployment.OfferRoot(ctx, root, "operator", m.docs.Fetch)
}

// randomEntry returns a random entry.
func (f *fleet) randomEntry() *member {
	f.mu.Lock()
	defer f.mu.Unlock()
	members := f.members()
	return members[f.random.IntN(len(members))]
}

// set changes the state of the fleet while holding mu.
func (f *fleet) set(change func(*fleet)) {
	f.mu.Lock()
	defer f.mu.Unlock()
	change(f)
}

// revisions returns the revision in force in each process.
func (f *fleet) revisions() map[string]uint32 {
	f.mu.Lock()
	defer f.mu.Unlock()
	found := map[string]uint32{}
	for id, m := range f.entries {
		found[id] = m.deployment.Known().GetRevision()
	}
	for id, agent := range f.agents {
		found[id] = agent.revision()
	}
	return found
}

// expectRevision fails the test unless the revision is in force in every process.
func (f *fleet) expectRevision(when string, want uint32) {
	f.t.Helper()
	for id, got := range f.revisions() {
		if got != want {
			f.t.Errorf("%s: got revision %d in force on %s, want %d", when, got, id, want)
		}
	}
}

// latencies returns, sorted, the time from the acceptance of each revision until it
// was in force in each process.
func (f *fleet) latencies() []time.Duration {
	f.mu.Lock()
	defer f.mu.Unlock()
	var all []time.Duration
	for rev, processes := range f.inForce {
		since, known := f.accepted[rev]
		if !known {
			continue
		}
		for _, at := range processes {
			all = append(all, at.Sub(since))
		}
	}
	slices.Sort(all)
	return all
}

// peakRates returns the highest numbers of reads and writes of the service in any
// second from since on.
func (f *fleet) peakRates(since time.Time) (reads, writes int) {
	f.mu.Lock()
	defer f.mu.Unlock()
	return peakPerSecond(f.reads, since), peakPerSecond(f.writes, since)
}

// peakPerSecond returns the highest number of calls in any second from since on.
func peakPerSecond(calls []time.Time, since time.Time) int {
	highest, from := 0, 0
	for i, at := range calls {
		if at.Before(since) {
			from = i + 1
			continue
		}
		for from < i && at.Sub(calls[from]) >= time.Second {
			from++
		}
		highest = max(highest, i-from+1)
	}
	return highest
}

// fakeAgent simulates the Sync calls of an agent with its home entry.
type fakeAgent struct {
	fleet *fleet
	node  *wire.Node
	view  *view.Holder
	stop  context.CancelFunc
	// leaving marks the agent's reports as leaving.
	leaving atomic.Bool

	mu           sync.Mutex
	state        revision.State
	parts        *store.PartCache
	known        uint32 // revision in the home entry's last reply
	home         string
	sequence     uint64
	baseline     spread.Baseline // of the reports sent to baselineHome
	baselineHome string          // entry that the baseline belongs to
	table        *membership.Table
	wanted       []string
}

func (f *fleet) startAgent(id, region string) {
	ctx, stop := context.WithCancel(f.ctx)
	agent := &fakeAgent{fleet: f, stop: stop, view: view.NewHolder(), parts: store.NewPartCache(1 << 20)}
	agent.table = membership.New(membership.DefaultLimits())
	agent.node = node.Describe(&wire.NodeSettings{Id: id, Region: region, FailureDomain: region + "1", ControlAddress: id}, "agent", "")
	f.mu.Lock()
	f.agents[id] = agent
	f.mu.Unlock()
	go agent.run(ctx)
	go f.trackRevisions(ctx, id, agent.view)
}

func (a *fakeAgent) revision() uint32 {
	a.mu.Lock()
	defer a.mu.Unlock()
	return a.state.Root().GetRevision()
}

func (a *fakeAgent) run(ctx context.Context) {
	for ctx.Err() == nil {
		home := a.chooseHome()
		if home == "" || a.sync(ctx, home) != nil {
			a.home = ""
			time.Sleep(200 * time.Millisecond)
			continue
		}
		time.Sleep(100 * time.Millisecond)
	}
}

// chooseHome returns the agent's home entry. A new one is picked at random, from the
// agent's own region if possible.
func (a *fakeAgent) chooseHome() string {
	if a.home != "" {
		return a.home
	}
	a.fleet.mu.Lock()
	defer a.fleet.mu.Unlock()
	var near, far []string
	for _, m := range a.fleet.members() {
		if m.node.GetRegion() == a.node.GetRegion() {
			near = append(near, m.node.GetId())
		} else {
			far = append(far, m.node.GetId())
		}
	}
	if len(near) == 0 {
		near = far
	}
	if len(near) > 0 {
		a.home = near[a.fleet.random.IntN(len(near))]
	}
	return a.home
}

func (a *fakeAgent) sync(ctx context.Context, home string) error {
	req := a.request()
	reply, err := a.fleet.sync(ctx, a.node.GetRegion(), home, req)
	if err != nil {
		return err
	}
	a.mu.Lock()
	a.baseline.RecordAcknowledged(req.GetHosts()[0], time.Now())
	if slices.Contains(reply.GetWholeWanted(), a.node.GetId()) {
		a.baseline.Reset()
	}
	a.applyReports(reply)
	a.known = reply.GetKnown().GetRevision()
	reply.Root = revision.Expand(a.state.Root(), reply.GetRoot())
	lacking := document.MissingHashes(reply.GetRoot(), a.parts.Has)
	a.mu.Unlock()
	if len(lacking) > 0 {
		fetched, err := a.fleet.parts(ctx, a.node.GetRegion(), home, &wire.PartsRequest{From: membership.NameOnly(a.node), Hashes: lacking})
		if err != nil {
			return err
		}
		for i, content := range fetched.GetParts() {
			a.parts.Add(lacking[i], content)
		}
	}
	return a.adopt(reply)
}

// applyReports applies the reports of other hosts and requests the whole reports for
// those it cannot complete; the caller holds mu.
func (a *fakeAgent) applyReports(reply *wire.SyncReply) {
	for _, report := range reply.GetHosts() {
		whole, ok := a.table.Complete(report)
		if !ok {
			a.wanted = append(a.wanted, report.GetNode().GetId())
			continue
		}
		a.table.ObserveHost(whole, time.Now())
	}
}

// adopt puts the reply's root in force and publishes the revision in the view.
func (a *fakeAgent) adopt(reply *wire.SyncReply) error {
	a.mu.Lock()
	defer a.mu.Unlock()
	if root := reply.GetRoot(); root != nil {
		if _, err := document.Join(root, a.parts.Get); err != nil {
			return err
		}
		if a.state.AdoptRoot(root) == revision.Contradiction {
			panic("two contents of one revision")
		}
	}
	a.view.Store(&view.Snapshot{Revision: a.state.Root().GetRevision()})
	return nil
}

// report returns the agent's report on its host.
func (a *fakeAgent) report() *wire.HostReport {
	a.fleet.mu.Lock()
	working := a.fleet.busy
	a.fleet.mu.Unlock()
	report := &wire.HostReport{Node: a.node, Sequence: a.sequence}
	if working {
		report = busyReport(a.node, a.sequence)
	}
	report.Leaving = a.leaving.Load()
	return report
}

func (a *fakeAgent) request() *wire.SyncRequest {
	a.mu.Lock()
	defer a.mu.Unlock()
	a.sequence++
	if a.baselineHome != a.home {
		a.baseline, a.baselineHome = spread.Baseline{}, a.home
	}
	from := a.node
	if !a.baseline.NeedsFullReport() {
		from = membership.NameOnly(a.node)
	}
	wanted := a.wanted
	a.wanted = nil
	req := &wire.SyncRequest{
		From: from, WholeWanted: wanted, Known: a.state.Known(time.Now()), WaitMillis: agentWait, DeltaRoots: true,
		Hosts: []*wire.HostReport{a.baseline.Next(a.report(), time.Now())},
	}
	if root := a.state.Root(); root != nil && a.known < root.GetRevision() {
		req.Root = root
		for _, part := range root.GetParts() {
			req.Parts = append(req.Parts, a.parts.Get(part.GetHash()))
		}
	}
	return req
}
