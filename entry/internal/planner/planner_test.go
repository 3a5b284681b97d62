package planner

import (
	"context"
	"fmt"
	"io"
	"log/slog"
	"testing"
	"time"

	"github.com/jonboulle/clockwork"
	"google.golang.org/protobuf/proto"

	"comfreyrelay.example/relay/document"
	"comfreyrelay.example/relay/failure"
	"comfreyrelay.example/relay/kv"
	"comfreyrelay.example/relay/view"
	"comfreyrelay.example/relay/wire"
)

// fixture is a planner with its view and lease; two fixtures may share a service.
type fixture struct {
	clock   *clockwork.FakeClock
	service *kv.Store
	view    *view.Holder
	planner *Planner
	fence   uint64 // 0 while the lease is not held
	offered []*wire.Plan
}

func newFixture(clock *clockwork.FakeClock, service *kv.Store, fence uint64) *fixture {
	f := &fixture{clock: clock, service: service, view: view.NewHolder(), fence: fence}
	f.planner = New(Config{
		View:    f.view,
		Service: service,
		Holding: func() (uint64, bool) { return f.fence, f.fence != 0 },
		Offer:   func(plan *wire.Plan) { f.offered = append(f.offered, plan) },
		Clock:   clock,
		Log:     slog.New(slog.NewTextHandler(io.Discard, nil)),
	})
	return f
}

// setView sets the planner's view to a document with the revision and the hosts.
func (f *fixture) setView(revision uint32, hosts ...string) {
	doc := document.Example()
	doc.Models = []*wire.Model{{Name: "parcel", Version: "v1", Replicas: []*wire.Replicas{{FailureDomain: "a", Count: 2}}}}
	snap := &view.Snapshot{Revision: revision, Document: doc}
	for _, id := range hosts {
		report := &wire.HostReport{Node: &wire.Node{Id: id, FailureDomain: "a"}, Endpoint: "engine"}
		snap.Hosts = append(snap.Hosts, view.NewHost(report, f.clock.Now(), false, false))
	}
	f.view.Store(snap)
}

func (f *fixture) step(t *testing.T) {
	t.Helper()
	if err := f.planner.Step(context.Background()); err != nil {
		t.Fatalf("got %v, want a step without error", err)
	}
}

func storedPlan(t *testing.T, service *kv.Store) *wire.Plan {
	t.Helper()
	entry, _, err := service.Get(context.Background(), PlanKey)
	if err != nil {
		t.Fatal(err)
	}
	plan := &wire.Plan{}
	if err := proto.Unmarshal(entry.Value(), plan); err != nil {
		t.Fatal(err)
	}
	return plan
}

func hostsOf(plan *wire.Plan) string {
	out := ""
	for _, assignment := range plan.GetAssignments() {
		out += assignment.GetHost() + " "
	}
	return out
}

func TestPlanIsWrittenOnceAndOffered(t *testing.T) {
	clock := clockwork.NewFakeClock()
	f := newFixture(clock, kv.NewMemory(clock), 5)
	f.setView(3, "a1", "a2", "a3")
	for range 3 {
		f.step(t)
	}
	plan := storedPlan(t, f.service)
	if plan.GetPlanRevision() != 1 || plan.GetRevision() != 3 || plan.GetFence() != 5 || len(plan.GetAssignments()) != 2 {
		t.Errorf("got plan %v, want revision 1 of document 3 under fence 5 with 2 hosts", plan)
	}
	if got := len(f.offered); got != 1 {
		t.Errorf("got %d plans offered, want 1", got)
	}
}

// TestWithoutLeaseWritesNothing checks that a process without the lease does not plan,
// and that one that loses the lease between computing and writing does not write.
func TestWithoutLeaseWritesNothing(t *testing.T) {
	clock := clockwork.NewFakeClock()
	f := newFixture(clock, kv.NewMemory(clock), 0)
	f.setView(1, "a1", "a2")
	f.step(t)
	calls := 0
	f.planner.cfg.Holding = func() (uint64, bool) {
		calls++
		return 5, calls == 1
	}
	f.step(t)
	if _, found, _ := f.service.Get(context.Background(), PlanKey); found {
		t.Errorf("got a plan written by a process that does not hold the lease, want none")
	}
}

// TestPausedHolderCannotOverwritePlan checks a holder that is paused past the expiry of
// its lease, while another one plans, and that resumes without noticing the expiry.
// Its swap must fail, and it must then see the higher fencing number.
func TestPausedHolderCannotOverwritePlan(t *testing.T) {
	clock := clockwork.NewFakeClock()
	service := kv.NewMemory(clock)
	first, second := newFixture(clock, service, 5), newFixture(clock, service, 9)
	first.setView(1, "a1", "a2")
	first.step(t)
	second.setView(2, "a2", "a3", "a4")
	second.step(t)
	clock.Advance(time.Minute)
	second.step(t)
	written := storedPlan(t, service)
	first.setView(1, "a1", "a3")
	clock.Advance(time.Minute)
	_ = first.planner.Step(context.Background())
	clock.Advance(time.Minute)
	if err := first.planner.Step(context.Background()); failure.KindOf(err) != failure.Conflict {
		t.Errorf("got %v, want kind conflict for a swap over a plan it never saw", err)
	}
	if got := storedPlan(t, service); !proto.Equal(got, written) {
		t.Errorf("got plan %v after the paused holder resumed, want %v", got, written)
	}
	if err := first.planner.Step(context.Background()); failure.KindOf(err) != failure.Stale {
		t.Errorf("got %v, want kind stale for the smaller fence", err)
	}
}

// TestNewHolderKeepsUnseenHosts checks that a planner that has just started, and has
// no reports of the hosts in the stored plan yet, does not treat them as lost at once.
func TestNewHolderKeepsUnseenHosts(t *testing.T) {
	clock := clockwork.NewFakeClock()
	service := kv.NewMemory(clock)
	first, second := newFixture(clock, service, 5), newFixture(clock, service, 9)
	first.setView(1, "a1", "a2")
	first.step(t)
	second.setView(1, "a7", "a8")
	second.step(t)
	clock.Advance(20 * time.Second)
	second.step(t)
	if got, want := hostsOf(storedPlan(t, service)), "a1 a2 "; got != want {
		t.Errorf("got hosts %q after 20 s, want %q", got, want)
	}
	clock.Advance(11 * time.Second)
	second.step(t)
	if got, want := hostsOf(storedPlan(t, service)), "a7 a8 "; got != want {
		t.Errorf("got hosts %q after 31 s of silence, want %q", got, want)
	}
}

// TestLostSwapReply checks that after a swap that took effect but whose reply was
// lost, the next step reads the stored plan and continues from it.
func TestLostSwapReply(t *testing.T) {
	clock := clockwork.NewFakeClock()
	service := kv.NewMemory(clock)
	swap, loseReply := service.Swap, true
	service.Swap = func(ctx context.Context, key string, value []byte, at uint64, lease string) (uint64, error) {
		revision, err := swap(ctx, key, value, at, lease)
		if loseReply && err == nil {
			loseReply = false
			return 0, failure.New(failure.Ambiguous, "the reply was lost", "read again")
		}
		return revision, err
	}
	f := newFixture(clock, service, 5)
	f.setView(1, "a1", "a2")
	if err := f.planner.Step(context.Background()); failure.KindOf(err) != failure.Ambiguous {
		t.Fatalf("got %v, want kind ambiguous", err)
	}
	f.step(t)
	if got := storedPlan(t, service).GetPlanRevision(); got != 1 {
		t.Errorf("got plan revision %d, want the one that was written", got)
	}
	f.setView(2, "a1", "a2")
	f.step(t)
	if got := fmt.Sprint(f.planner.stored.GetPlanRevision()); got != "1" {
		t.Errorf("got plan revision %s, want 1: nothing changed", got)
	}
}

// TestPlanRevisionGrowsAfterServiceLosesPlan checks that after the service was restored
// without the newest plan, the next plan has a higher revision than the one in force.
// Otherwise processes would ignore it as outdated.
func TestPlanRevisionGrowsAfterServiceLosesPlan(t *testing.T) {
	clock := clockwork.NewFakeClock()
	f := newFixture(clock, kv.NewMemory(clock), 5)
	f.setView(1, "a1", "a2")
	before, _ := f.view.Load()
	next := *before
	next.PlanRevision, next.Plan = 8, &wire.Plan{PlanRevision: 8, Fence: 4}
	f.view.Store(&next)
	f.step(t)
	if got := storedPlan(t, f.service).GetPlanRevision(); got != 9 {
		t.Errorf("got plan revision %d, want 9", got)
	}
}

func TestServiceHostsGetNoAssignments(t *testing.T) {
	clock := clockwork.NewFakeClock()
	f := newFixture(clock, kv.NewMemory(clock), 5)
	f.setView(1, "a1")
	before, _ := f.view.Load()
	next := *before
	for _, report := range []*wire.HostReport{
		{Node: &wire.Node{Id: "s1", FailureDomain: "a"}, Service: "notices"},
		{Node: &wire.Node{Id: "s2", FailureDomain: "a"}, Endpoint: "notices"},
	} {
		next.Hosts = append(next.Hosts, view.NewHost(report, clock.Now(), false, false))
	}
	f.view.Store(&next)
	f.step(t)
	if got, want := hostsOf(storedPlan(t, f.service)), "a1 "; got != want {
		t.Errorf("got hosts %q, want %q", got, want)
	}
}
