package onsite

import (
	"context"
	"crypto/sha256"
	"encoding/binary"
	"encoding/hex"
	"fmt"
	"log/slog"
	"net"
	"net/http/httptest"
	"net/netip"
	"strings"
	"sync"
	"testing"
	"time"

	"storj.io/drpc/drpcconn"

	"github.com/jonboulle/clockwork"

	"comfreyrelay.example/platform"
	"comfreyrelay.example/platform/platformtest"
	"comfreyrelay.example/relay/wire"
)

const (
	testModel  = "m"
	testChunks = 12
	testSize   = 4096
)

// testSite is a set of hosts, each with an engine and an agent, and an origin.
type testSite struct {
	origin    *platformtest.Origin
	originURL string
	engines   []*platformtest.Engine
	agents    []*agent
	nodes     []*wire.Node
}

// newTestSite starts one host per loaded version; 0 means an engine without weights.
func newTestSite(t *testing.T, loaded ...uint64) *testSite {
	t.Helper()
	return newAdjustedSite(t, func(*testSite, *agent) {}, loaded...)
}

// newAdjustedSite is like newTestSite; adjust may change each agent before it starts.
func newAdjustedSite(t *testing.T, adjust func(s *testSite, member *agent), loaded ...uint64) *testSite {
	t.Helper()
	s := &testSite{origin: platformtest.NewOrigin(testModel)}
	server := httptest.NewServer(s.origin)
	t.Cleanup(server.Close)
	s.originURL = server.URL
	s.origin.Add(1, platformtest.Chunks(1, testChunks, testSize))
	ctx, cancel := context.WithCancel(context.Background())
	var running sync.WaitGroup
	t.Cleanup(func() { cancel(); running.Wait() })
	for i, version := range loaded {
		var chunks [][]byte
		if version > 0 {
			chunks = platformtest.Chunks(version, testChunks, testSize)
		}
		engine := platformtest.NewEngine(testModel, version, chunks)
		engineServer := httptest.NewServer(engine)
		t.Cleanup(engineServer.Close)
		lis, err := net.Listen("tcp", "127.0.0.1:0")
		if err != nil {
			t.Fatal(err)
		}
		set := &wire.AgentSettings{
			Node:        &wire.NodeSettings{Id: fmt.Sprint("host-", i), Region: "r", FailureDomain: "d", ControlAddress: lis.Addr().String()},
			EndpointUrl: engineServer.URL,
			Site:        &wire.SiteSettings{LinkMegabits: 80, Bounds: &wire.SiteBounds{VersionMillis: 1500}},
		}
		member := newAgent(set, slog.New(slog.DiscardHandler))
		s.engines, s.agents = append(s.engines, engine), append(s.agents, member)
		s.nodes = append(s.nodes, &wire.Node{
			Id: strings.TrimPrefix(engineServer.URL, "http://"), Region: "r", FailureDomain: "d", ControlAddress: lis.Addr().String(),
		})
		adjust(s, member)
		running.Go(func() { _ = member.run(ctx, lis) })
	}
	return s
}

// hosts lists the hosts as entries do, with one group per host since agent ports differ.
func (s *testSite) hosts() []*wire.HostGroup {
	var groups []*wire.HostGroup
	for _, node := range s.nodes {
		engine, agent := netip.MustParseAddrPort(node.GetId()), netip.MustParseAddrPort(node.GetControlAddress())
		ip := engine.Addr().As4()
		groups = append(groups, &wire.HostGroup{
			Region: node.GetRegion(), FailureDomain: node.GetFailureDomain(), AgentPort: uint32(agent.Port()),
			Ip: []uint32{binary.BigEndian.Uint32(ip[:])}, Port: []uint32{uint32(engine.Port())},
		})
	}
	return groups
}

// sendGuidance tells all agents which version is wanted, as entries do.
func (s *testSite) sendGuidance(version uint64, revision uint64) {
	for _, agent := range s.agents {
		agent.guidance.receive(time.Now(), &wire.Guidance{
			Revision: revision, Hosts: s.hosts(), OriginUrl: s.originURL,
			Wanted: []*wire.WantedWeights{{
				Model: testModel, Version: version, Chunks: testChunks, ChunkBytes: testSize, Cutover: true, Fence: revision,
			}},
		})
	}
}

// awaitVersion waits until all engines have loaded the version.
func (s *testSite) awaitVersion(t *testing.T, version uint64) {
	t.Helper()
	ctx, cancel := context.WithTimeout(context.Background(), 30*time.Second)
	defer cancel()
	for _, engine := range s.engines {
		for loads := engine.Loads(); len(loads) == 0 || loads[len(loads)-1].Version != version; loads = engine.Loads() {
			select {
			case <-ctx.Done():
				t.Fatalf("got loads %v, want version %d", loads, version)
			case <-time.After(5 * time.Millisecond):
			}
		}
	}
}

// awaitFirstLoad waits until any engine was ordered to load.
func (s *testSite) awaitFirstLoad(t *testing.T) {
	t.Helper()
	ctx, cancel := context.WithTimeout(context.Background(), 30*time.Second)
	defer cancel()
	for {
		for _, engine := range s.engines {
			if len(engine.Loads()) > 0 {
				return
			}
		}
		select {
		case <-ctx.Done():
			t.Fatal("got no load, want one")
		case <-time.After(5 * time.Millisecond):
		}
	}
}

// digestOf returns the SHA-256 of the concatenated chunks, in hexadecimal.
func digestOf(chunks [][]byte) string {
	sum := sha256.New()
	for _, chunk := range chunks {
		sum.Write(chunk)
	}
	return hex.EncodeToString(sum.Sum(nil))
}

// checkLoads fails the test if an engine loaded anything but complete, intact versions.
func (s *testSite) checkLoads(t *testing.T) {
	t.Helper()
	for i, engine := range s.engines {
		for _, load := range engine.Loads() {
			if got, want := load.Digest, digestOf(platformtest.Chunks(load.Version, testChunks, testSize)); got != want {
				t.Errorf("engine %d: got version %d loaded from corrupted or mixed chunks", i, load.Version)
			}
		}
	}
}

func TestNewHostsFetchWeightsFromPeers(t *testing.T) {
	s := newTestSite(t, 1, 1, 0, 0)
	// On a slow machine a new host may download from the origin before it has learned of
	// its peers, so the origin refuses chunks here.
	s.origin.RefuseChunks(true)
	s.sendGuidance(1, 1)
	for _, i := range []int{2, 3} {
		for len(s.engines[i].Loads()) == 0 {
			time.Sleep(5 * time.Millisecond)
		}
	}
	s.checkLoads(t)
	if got := len(s.engines[0].Loads()); got != 0 {
		t.Errorf("got %d orders at a host that has the version, want none", got)
	}
}

func TestNewVersionReachesAllHosts(t *testing.T) {
	s := newTestSite(t, 1, 1, 1, 1)
	s.sendGuidance(1, 1)
	s.origin.Add(2, platformtest.Chunks(2, testChunks, testSize))
	s.sendGuidance(2, 5)
	s.awaitVersion(t, 2)
	s.checkLoads(t)
	if got, most := s.origin.Sent(), testChunks*testSize*3/2; got > most {
		t.Errorf("got %d bytes from the origin, want at most %d, one and a half copies", got, most)
	}
}

// Guards against a host that serves corrupted weights: a chunk is corrupted after it was
// verified and staged, and the engine is ordered to load it. Chunks used to be trusted once
// they had been verified.
func TestCorruptedStagedChunkIsFetchedAgain(t *testing.T) {
	s := newTestSite(t, 1, 1, 0)
	for i := range testChunks {
		s.engines[0].CorruptChunk(i)
	}
	s.sendGuidance(1, 1)
	for len(s.engines[2].Loads()) == 0 {
		time.Sleep(5 * time.Millisecond)
	}
	s.checkLoads(t)
	s.origin.Add(2, platformtest.Chunks(2, testChunks, testSize))
	s.engines[1].SetRunning(1) // makes it wait for its turn, which leaves time to corrupt a chunk
	s.sendGuidance(2, 5)
	for !s.engines[1].CorruptChunk(3) {
		time.Sleep(time.Millisecond)
	}
	s.awaitVersion(t, 2)
	s.checkLoads(t)
}

// Guards against hosts that never complete a version because a digest in the manifest was
// corrupted in transit from the origin. Nothing verifies a digest, so a single download must
// not be trusted.
func TestCorruptManifestIsRejected(t *testing.T) {
	s := newTestSite(t, 1, 1)
	s.sendGuidance(1, 1)
	s.origin.Add(2, platformtest.Chunks(2, testChunks, testSize))
	s.origin.CorruptManifests(1)
	s.sendGuidance(2, 5)
	s.awaitVersion(t, 2)
	s.checkLoads(t)
}

func TestOlderGuidanceIsIgnored(t *testing.T) {
	guidance := newGuidanceStore()
	now := time.Now()
	receive := func(version, revision uint64) {
		guidance.receive(now, &wire.Guidance{Revision: revision, OriginUrl: fmt.Sprint(revision),
			Wanted: []*wire.WantedWeights{{Model: testModel, Version: version, AgeMillis: 1000}}})
	}
	if _, ok := guidance.newestWanted(); ok {
		t.Errorf("got weights before any guidance")
	}
	receive(3, 7)
	receive(2, 6)
	want, ok := guidance.newestWanted()
	if !ok || want.version != 3 || guidance.originURL() != "7" {
		t.Errorf("got version %d and origin %s, want 3 and 7", want.version, guidance.originURL())
	}
	if got, want := want.declaredAt, now.Add(-time.Second); !got.Equal(want) {
		t.Errorf("got declaration time %v, want %v", got, want)
	}
	receive(4, 8)
	if got, want := len(guidance.declarations(testModel)), 2; got != want {
		t.Errorf("got %d declarations kept, want %d", got, want)
	}
	earlier := guidance.wantedVersion(wantedWeights{model: testModel, version: 4}, 3)
	if earlier.version != 3 {
		t.Errorf("got version %d, want 3", earlier.version)
	}
}

// Guards against a host that assumes a later declaration than the true one because the entry
// that reported the version first had started after its declaration, and against a host that
// does not report the ages it knows.
func TestHostReportsDeclarationAges(t *testing.T) {
	guidance, now := newGuidanceStore(), time.Now()
	for _, age := range []uint32{0, 5000, 200} {
		guidance.receive(now, &wire.Guidance{Wanted: []*wire.WantedWeights{{Model: testModel, Version: 3, AgeMillis: age}}})
	}
	if want, _ := guidance.newestWanted(); now.Sub(want.declaredAt) != 5*time.Second {
		t.Errorf("got the version declared %v ago, want 5s", now.Sub(want.declaredAt))
	}
	got := guidance.declarationAges(now.Add(time.Second))
	if len(got) != 1 || got[0].GetModel() != testModel || got[0].GetVersion() != 3 || got[0].GetAgeMillis() != 6000 {
		t.Errorf("got %v, want version 3 for 6000 ms", got)
	}
}

func TestHostCountsRequestsThatCannotMove(t *testing.T) {
	clock := clockwork.NewFakeClock()
	poller := newEnginePoller(nil, clock, slog.New(slog.DiscardHandler))
	server := newFeed(poller, newGuidanceStore(), newPacer(clock.Now), clock)
	first, second := &follower{feed: server}, &follower{feed: server}
	for _, step := range []struct {
		do   func()
		want int
	}{
		{func() { first.receive(&wire.Guidance{ReadingOnly: true, Last: 2}) }, 2},
		{func() { second.receive(&wire.Guidance{ReadingOnly: true, Last: 1}) }, 3},
		{func() { first.receive(&wire.Guidance{ReadingOnly: true, Last: 1}) }, 2},
		{func() { server.remove(first) }, 1},
		{func() { second.receive(&wire.Guidance{ReadingOnly: true}) }, 0},
	} {
		step.do()
		if got := poller.countPinnedRequests(); got != step.want {
			t.Errorf("got %d requests, want %d", got, step.want)
		}
	}
}

func TestEntryReceivesEngineStateAndOthersUnprocessedTokens(t *testing.T) {
	s := newTestSite(t, 1)
	s.engines[0].SetRunning(5)
	follow := func(unprocessedTokens uint32) wire.DRPCFeed_FollowClient {
		conn, err := net.Dial("tcp", s.nodes[0].GetControlAddress())
		if err != nil {
			t.Fatal(err)
		}
		client := drpcconn.New(conn)
		t.Cleanup(func() { _ = client.Close() })
		stream, err := wire.NewDRPCFeedClient(client).Follow(context.Background())
		if err != nil {
			t.Fatal(err)
		}
		if err := stream.Send(&wire.Guidance{GapMillis: 25, Reading: unprocessedTokens}); err != nil {
			t.Fatal(err)
		}
		return stream
	}
	stream := follow(700)
	follow(300)
	for {
		state, err := stream.Recv()
		if err != nil {
			t.Fatal(err)
		}
		if state.GetAlive() && state.GetRunning() == 5 && state.GetReading() == 1000 && state.GetReadingYours() == 700 {
			break
		}
	}
}

func TestVersionNames(t *testing.T) {
	model, version := parseVersionName(versionName("a@b", 17))
	if model != "a@b" || version != 17 {
		t.Errorf("got %s and %d, want a@b and 17", model, version)
	}
}

// Guards against streams that pause during a rollout: an engine that runs nine requests gets
// a load order and cuts them off, and another engine has to process each prompt again. The
// order used to be sent as soon as entries could have learned of it. A host that serves
// nothing uses the short period.
func TestNoticePeriodLetsRunningRequestsFinish(t *testing.T) {
	if got := noticePeriodFor(platform.EngineReport{Running: 9}); got != noticePeriod {
		t.Errorf("got a notice period of %v with nine requests running, want %v", got, noticePeriod)
	}
	if got := noticePeriodFor(platform.EngineReport{}); got != idleNoticePeriod {
		t.Errorf("got a notice period of %v with nothing running, want %v", got, idleNoticePeriod)
	}
}
