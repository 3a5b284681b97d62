package onsite

import (
	"context"
	"encoding/json"
	"errors"
	"fmt"
	"log/slog"
	"math"
	"net/http"
	"net/http/httptest"
	"slices"
	"strconv"
	"testing"
	"time"

	"github.com/jonboulle/clockwork"
	"google.golang.org/protobuf/proto"

	"comfreyrelay.example/platform"
	"comfreyrelay.example/platform/platformtest"
	"comfreyrelay.example/relay/catalog"
	"comfreyrelay.example/relay/deal"
	"comfreyrelay.example/relay/fleet"
	"comfreyrelay.example/relay/freshness"
	"comfreyrelay.example/relay/site"
	"comfreyrelay.example/relay/wire"
)

func newRegistrar(t *testing.T) (*registrar, *platformtest.Store) {
	t.Helper()
	kvStore := platformtest.NewStore()
	server := httptest.NewServer(kvStore)
	t.Cleanup(server.Close)
	return &registrar{
		store: platform.NewStore(server.URL, server.Client()), key: platform.EntryKey("entry-1"),
		value: site.Entry{CallersAddress: "10.0.0.1:80", Incarnation: "one"},
		ready: func() error { return nil }, clock: clockwork.NewFakeClock(), log: slog.New(slog.DiscardHandler),
	}, kvStore
}

// advanceTimes calls advance the given number of times and ignores its errors.
func (r *registrar) advanceTimes(count int) {
	for range count {
		_ = r.advance(context.Background())
	}
}

func TestEntryRegistersRenewsAndLeaves(t *testing.T) {
	reg, standIn := newRegistrar(t)
	reg.advanceTimes(3)
	if got, want := standIn.Keys(""), []string{platform.EntryKey("entry-1")}; !slices.Equal(got, want) {
		t.Errorf("got keys %v, want %v", got, want)
	}
	if got, want := standIn.Calls("/kv-txn"), 1; got != want {
		t.Errorf("got %d writes, want %d", got, want)
	}
	reg.revoke()
	if got := standIn.Keys(""); len(got) != 0 {
		t.Errorf("got keys %v after revoke, want none", got)
	}
}

func TestEntryThatIsNotReadyDoesNotRegister(t *testing.T) {
	reg, standIn := newRegistrar(t)
	reg.ready = func() error { return errors.New("not yet") }
	reg.advanceTimes(3)
	if got := standIn.Keys(""); len(got) != 0 {
		t.Errorf("got keys %v, want none", got)
	}
}

func TestLapsedRegistrationIsMadeAgain(t *testing.T) {
	reg, standIn := newRegistrar(t)
	reg.advanceTimes(1)
	standIn.EndLeases()
	reg.advanceTimes(2)
	if got, want := len(standIn.Keys("")), 1; got != want {
		t.Errorf("got %d keys, want %d", got, want)
	}
}

// Guards against an entry that takes the conflict of its second write for another entry's key,
// after the store made the first write and its response was lost. The entry would be missing from
// the directory for ever, or would write its registration twice.
func TestRegistrationWithLostAnswerIsRecognized(t *testing.T) {
	reg, standIn := newRegistrar(t)
	lost := true
	standIn.SetFault(func(r *http.Request) platformtest.Fault {
		if r.URL.Path == "/kv-txn" && lost {
			lost = false
			return platformtest.Lost
		}
		return platformtest.None
	})
	reg.advanceTimes(3)
	if !reg.registered {
		t.Errorf("got registered false, want true")
	}
	if got, want := standIn.Calls("/kv-txn"), 2; got != want {
		t.Errorf("got %d writes, want %d: the one whose response was lost and the one that conflicted", got, want)
	}
}

func TestRegistrationOfEarlierIncarnationIsReplaced(t *testing.T) {
	reg, standIn := newRegistrar(t)
	standIn.Put(platform.EntryKey("entry-1"), site.Entry{CallersAddress: "10.0.0.9:80", Incarnation: "zero"})
	reg.advanceTimes(2)
	current, _, err := reg.store.Get(context.Background(), reg.key)
	if err != nil {
		t.Fatal(err)
	}
	value := site.Entry{}
	if err := json.Unmarshal(current.Value(), &value); err != nil || value.Incarnation != "one" {
		t.Errorf("got %+v, %v, want incarnation one", value, err)
	}
}

func newState(entries map[string]site.Entry) *site.State {
	clock := clockwork.NewFakeClock()
	state := site.NewState(clock.Now, fleet.New(clock.Now), freshness.NewTracker(func() time.Duration { return 0 }))
	var records []site.Record
	for id, entry := range entries {
		records = append(records, site.Record{Kind: site.EntryRecord, ID: id, Entry: entry})
	}
	state.Apply(records, 1)
	return state
}

func TestDirectoryPrefersFailureDomainWithTwoEntries(t *testing.T) {
	state := newState(map[string]site.Entry{
		"a": {CallersAddress: "1", FailureDomain: "d1"}, "b": {CallersAddress: "2", FailureDomain: "d1"},
		"c": {CallersAddress: "3", FailureDomain: "d2"}, "self": {CallersAddress: "4", FailureDomain: "d2"},
	})
	open := true
	dir := &directory{
		state: state, id: "self", self: site.Entry{CallersAddress: "4", FailureDomain: "d2"},
		acceptsCallers: func() bool { return open }, ttl: func() time.Duration { return time.Second },
	}
	check := func(domain string, want ...string) {
		t.Helper()
		if got, _ := dir.selectAddresses(platform.CallerLocation{FailureDomain: domain}); !slices.Equal(got, want) {
			t.Errorf("%s: got %v, want %v", domain, got, want)
		}
	}
	check("d1", "1", "2")
	check("d2", "3", "4")
	check("d9", "1", "2", "3", "4")
	// A draining entry omits itself, and a single entry in the domain is not enough.
	open = false
	check("d2", "1", "2", "3")
}

// currentGuidance returns the guidance for the current state.
func (f *feedManager) currentGuidance() *wire.Guidance {
	return f.buildGuidance(f.state.Fleet().Engines()).withCurrentAges(f)
}

func TestGuidanceHasDeclaredWeightsAndHosts(t *testing.T) {
	state := newState(nil)
	state.Apply([]site.Record{
		{Kind: site.CatalogRecord, Catalog: catalog.New(catalog.Spec{Version: 1, Services: []catalog.Service{
			{Name: "llm", Engine: &catalog.Engine{Chunks: 4, ChunkBytes: 10, Loads: map[string]time.Duration{"m": time.Second}}},
			{Name: "bridge", Origin: "10.0.0.9:70"},
		}})},
		{Kind: site.EndpointRecord, ID: "i-1", Endpoint: fleet.Registration{
			ID: "i-1", Service: "llm", Address: "10.0.0.1:80", FailureDomain: "d1", Slots: 4, Loaded: map[string]uint64{"m": 3},
		}},
	}, 5)
	manager := &feedManager{state: state, agentPort: 7700, clock: clockwork.NewFakeClock(), regions: map[string]string{"d1": "north"}}
	guidance := manager.currentGuidance()
	if len(guidance.GetWanted()) != 1 || guidance.GetWanted()[0].GetVersion() != 3 || guidance.GetWanted()[0].GetFence() != 0 {
		t.Errorf("got %v, want version 3, which is loaded, without a fence", guidance.GetWanted())
	}
	if got, want := guidance.GetOriginUrl(), "http://10.0.0.9:70"; got != want {
		t.Errorf("got origin %q, want %q", got, want)
	}
	want := &wire.HostGroup{Region: "north", FailureDomain: "d1", Ip: []uint32{10<<24 + 1}, Port: []uint32{80}, AgentPort: 7700}
	if len(guidance.GetHosts()) != 1 || !proto.Equal(guidance.GetHosts()[0], want) {
		t.Errorf("got %v, want the host with the engine", guidance.GetHosts())
	}
	leaving := engineRecord(2)
	leaving.Endpoint.Leaving = true
	state.Apply([]site.Record{leaving}, 6)
	if guidance := manager.currentGuidance(); !proto.Equal(guidance.GetHosts()[0], want) {
		t.Errorf("got %v, want no host whose engine is leaving", guidance.GetHosts())
	}
	state.Apply([]site.Record{{Kind: site.WeightsRecord, ID: "m", Weights: 4}}, 9)
	guidance = manager.currentGuidance()
	if guidance.GetWanted()[0].GetVersion() != 4 || guidance.GetWanted()[0].GetFence() != 9 {
		t.Errorf("got %v, want version 4 with fence 9", guidance.GetWanted())
	}
}

// Guards against a registration that claims a version nobody declared: entries wanted it everywhere, and no
// later declaration was followed.
func TestVersionThatOneEngineClaimsIsNotWanted(t *testing.T) {
	state := newState(nil)
	records := []site.Record{{Kind: site.CatalogRecord, Catalog: catalog.New(catalog.Spec{Version: 1, Services: []catalog.Service{
		{Name: "llm", Engine: &catalog.Engine{Chunks: 4, ChunkBytes: 10, Loads: map[string]time.Duration{"m": time.Second}}},
	}})}}
	for i, loaded := range []uint64{1, math.MaxUint64, 1} {
		id := fmt.Sprint("i-", i)
		records = append(records, site.Record{Kind: site.EndpointRecord, ID: id, Endpoint: fleet.Registration{
			ID: id, Service: "llm", Address: fmt.Sprintf("10.0.0.%d:80", i+1), FailureDomain: "d1", Slots: 4, Loaded: map[string]uint64{"m": loaded},
		}})
	}
	state.Apply(records, 5)
	manager := &feedManager{state: state, agentPort: 7700, clock: clockwork.NewFakeClock(), regions: map[string]string{"d1": "north"}}
	if got, want := manager.currentGuidance().GetWanted()[0].GetVersion(), uint64(1); got != want {
		t.Errorf("got version %d wanted before any declaration, want %d", got, want)
	}
	state.Apply([]site.Record{{Kind: site.WeightsRecord, ID: "m", Weights: 2}}, 6)
	if got := manager.currentGuidance().GetWanted()[0]; got.GetVersion() != 2 || got.GetFence() != 6 {
		t.Errorf("got %v wanted, want the declared version 2 with fence 6", got)
	}
}

// testFeed is the feed of one engine, with the assignment from its manager's plans.
type testFeed struct {
	manager *feedManager
	clock   *clockwork.FakeClock
	feed    *feed
	sender  *guidanceSender
}

func newTestFeed(state *site.State, engine string) *testFeed {
	clock := clockwork.NewFakeClock()
	manager := &feedManager{
		state: state, clock: clock, log: slog.New(slog.DiscardHandler), entryID: "self", domain: "d1", region: "north",
		regions: map[string]string{"d1": "north"},
	}
	engineFeed := &feed{manager: manager, engine: fleet.Engine{Service: "llm", Address: engine}, delays: newDelayMeter(), changed: make(chan struct{}, 1)}
	return &testFeed{manager: manager, clock: clock, feed: engineFeed, sender: &guidanceSender{feed: engineFeed, unreadTokens: -1}}
}

// next makes a plan and returns the message that is sent to the agent, or nil.
func (g *testFeed) next() *wire.Guidance {
	plan := g.manager.computePlan()
	g.feed.setAssignment(plan.parts[g.feed.engine.Address], plan.guidance)
	guidance, _ := g.sender.next(g.clock.Now())
	return guidance
}

func engineRecord(number int) site.Record {
	id := "i-" + strconv.Itoa(number)
	return site.Record{Kind: site.EndpointRecord, ID: id, Endpoint: fleet.Registration{
		ID: id, Service: "llm", Address: "10.0.0." + strconv.Itoa(number) + ":80", FailureDomain: "d1", Slots: 4,
	}}
}

func engineCatalog(version uint64, origin string) site.Record {
	services := []catalog.Service{{Name: "llm", Engine: &catalog.Engine{Chunks: 4, ChunkBytes: 10}}}
	if origin != "" {
		services = append(services, catalog.Service{Name: "b", Origin: origin})
	}
	return site.Record{Kind: site.CatalogRecord, Catalog: catalog.New(catalog.Spec{Version: version, Services: services})}
}

// Guards against sending the full guidance, with all hosts, from every entry to every agent
// whenever any key of the store changes. The traffic between regions was several times that of
// the requests.
func TestGuidanceIsSentWhenItChanges(t *testing.T) {
	state := newState(nil)
	state.Apply([]site.Record{engineCatalog(1, ""), engineRecord(1)}, 1)
	target := newTestFeed(state, "10.0.0.1:80")
	if got := target.next(); got == nil || got.GetReadingOnly() {
		t.Fatalf("got %v at first, want the full guidance", got)
	}
	state.Apply([]site.Record{{Kind: site.EntryRecord, ID: "other"}}, 2)
	if got := target.next(); got != nil {
		t.Errorf("got %v after a change that does not affect agents, want nothing", got)
	}
	state.Apply([]site.Record{engineCatalog(2, "10.0.0.9:70")}, 3)
	if got := target.next(); got == nil || got.GetOriginUrl() == "" {
		t.Errorf("got %v after a change of the origin, want guidance with the new origin", got)
	}
}

// Guards against sending the list of hosts once for each host that registers. When a hundred
// hosts were added within five seconds, five entries sent the whole list to each host for every
// registration. This filled most of the hosts' links, and the new hosts got their weights seconds
// late.
func TestHostsThatRegisterTogetherAreSentInFewLists(t *testing.T) {
	state := newState(nil)
	state.Apply([]site.Record{engineCatalog(1, ""), engineRecord(1)}, 1)
	target := newTestFeed(state, "10.0.0.1:80")
	target.next()
	lists, hosts := 0, 0
	for i := range 100 {
		state.Apply([]site.Record{engineRecord(2 + i)}, uint64(2+i))
		target.clock.Advance(minPlanInterval)
		if guidance := target.next(); guidance != nil {
			lists++
			hosts = len(guidance.GetHosts()[0].GetIp())
		}
	}
	if limit := int(100*minPlanInterval/minHostListInterval) + 1; lists > limit {
		t.Errorf("got %d lists of hosts in %v, want at most %d", lists, 100*minPlanInterval, limit)
	}
	target.clock.Advance(minHostListInterval)
	if guidance := target.next(); guidance != nil {
		hosts = len(guidance.GetHosts()[0].GetIp())
	}
	if got, want := hosts, 101; got != want {
		t.Errorf("got %d hosts in the last list, want %d", got, want)
	}
	// A change other than to hosts is not delayed.
	state.Apply([]site.Record{engineCatalog(2, "10.0.0.9:70"), engineRecord(200)}, 300)
	if got := target.next(); got == nil || got.GetOriginUrl() == "" {
		t.Errorf("got %v right after a host list, want the new origin sent at once", got)
	}
}

// Guards against a host that gets no new versions after the entries that guide it ended and their
// registrations were removed, because no other entry checks whether it has to take over.
func TestEntryTakesOverGuidanceWhenOtherEntriesLeave(t *testing.T) {
	otherEntries := map[string]site.Entry{}
	for i := range 12 {
		otherEntries["other-"+strconv.Itoa(i)] = site.Entry{Region: "north", FailureDomain: "d1"}
	}
	state := newState(otherEntries)
	state.Apply([]site.Record{engineCatalog(1, "")}, 1)
	var engines []site.Record
	for i := range 20 {
		engines = append(engines, engineRecord(i))
	}
	state.Apply(engines, 2)
	var target *testFeed
	for i := range engines {
		target = newTestFeed(state, "10.0.0."+strconv.Itoa(i)+":80")
		if target.manager.computePlan().parts[target.feed.engine.Address] == (deal.Assignment{}) {
			break
		}
	}
	if got := target.next(); got == nil || !got.GetReadingOnly() || got.GetGapMillis() != uint32(outsideInterval.Milliseconds()) {
		t.Errorf("got %v for an engine that other entries guide, want no guidance", got)
	}
	var gone []site.Record
	for id := range otherEntries {
		gone = append(gone, site.Record{Kind: site.EntryRecord, ID: id, Removed: true})
	}
	state.Apply(gone, 3)
	if got := target.next(); got == nil || got.GetReadingOnly() {
		t.Errorf("got %v after the other entries left, want the full guidance", got)
	}
	target.clock.Advance(minHostListInterval)
	if got := target.next(); got != nil {
		t.Errorf("got %v without a change, want nothing", got)
	}
}

func TestBoundsHaveDefaults(t *testing.T) {
	got := newBounds(nil)
	if got.grace != 8*time.Second || got.gateway.MaxKeyAge != 4600*time.Millisecond || got.directoryTTL != 2*time.Second {
		t.Errorf("got %+v, want the defaults", got)
	}
	got = newBounds(&wire.SiteBounds{RevokeMillis: 100, DirectoryTtlSeconds: 0.5, GraceMillis: 3000})
	if got.gateway.MaxKeyAge <= 0 || got.directoryTTL != 500*time.Millisecond || got.grace != 3*time.Second {
		t.Errorf("got %+v, want the configured values", got)
	}
}

// Guards against dropping an agent's report that its engine is leaving.
func TestLeavingStateOfEngineIsKept(t *testing.T) {
	if got := engineStateOf(&wire.EngineState{Leaving: true}); !got.Leaving {
		t.Errorf("got an engine that is not leaving, want a leaving one")
	}
}
