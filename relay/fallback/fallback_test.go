package fallback

import (
	"fmt"
	"maps"
	"slices"
	"strings"
	"testing"
	"time"

	"github.com/cockroachdb/datadriven"

	"comfreyrelay.example/relay/view"
	"comfreyrelay.example/relay/wire"
)

var start = time.Date(2026, 1, 5, 8, 0, 0, 0, time.UTC)

// TestDecideScripts runs the scripts in testdata.
func TestDecideScripts(t *testing.T) {
	datadriven.Walk(t, "testdata", func(t *testing.T, path string) {
		sc := newScenario()
		datadriven.RunTest(t, path, func(t *testing.T, cmd *datadriven.TestData) string { return sc.run(t, cmd) })
	})
}

// scenario is a failure domain "a" whose hosts all see the same reports.
type scenario struct {
	now       time.Time
	confirmed time.Time
	doc       *wire.Document
	plan      *wire.Plan
	hosts     map[string]*hostState
}

// hostState is a host with its Decider.
type hostState struct {
	report        *wire.HostReport
	seenAt        time.Time
	leaving, lost bool
	core          *Decider
}

func newScenario() *scenario {
	return &scenario{now: start, confirmed: start, doc: &wire.Document{}, plan: &wire.Plan{PlanRevision: 1}, hosts: map[string]*hostState{}}
}

func (s *scenario) run(t *testing.T, cmd *datadriven.TestData) string {
	switch cmd.Cmd {
	case "model":
		s.setModel(t, cmd)
	case "plan":
		s.setPlan(t, cmd)
	case "hosts":
		s.setHosts(t, cmd)
	case "forget":
		for _, arg := range cmd.CmdArgs {
			delete(s.hosts, arg.Key)
		}
	case "confirm":
		s.confirmed = s.now
	case "wait":
		wait, err := time.ParseDuration(cmd.CmdArgs[0].Key)
		if err != nil {
			t.Fatal(err)
		}
		if cmd.HasArg("asleep") {
			s.now = s.now.Add(wait)
			return s.decide()
		}
		return s.wait(wait)
	default:
		t.Fatalf("unknown command %s", cmd.Cmd)
	}
	return ""
}

// wait lets the hosts decide once per second and returns the last decisions.
func (s *scenario) wait(wait time.Duration) string {
	out := s.decide()
	for range int(wait / time.Second) {
		s.now = s.now.Add(time.Second)
		out = s.decide()
	}
	return out
}

// decide runs Decide for every host that is not lost and returns the resulting
// assignments, one per line.
func (s *scenario) decide() string {
	var out strings.Builder
	for _, id := range slices.Sorted(maps.Keys(s.hosts)) {
		h := s.hosts[id]
		if h.lost {
			continue
		}
		own := h.report
		own.Leaving = h.leaving
		got := h.core.Decide(Input{Now: s.now, Document: s.doc, Plan: s.plan, ConfirmedAt: s.confirmed, Hosts: s.seen(), Own: own})
		if got != nil {
			fmt.Fprintf(&out, "%s %s/%s adapters %d\n", id, got.GetModel(), got.GetVersion(), len(got.GetAdapters()))
		}
	}
	if out.Len() == 0 {
		return "nothing\n"
	}
	return out.String()
}

// seen returns the hosts as every host sees them.
func (s *scenario) seen() []view.Host {
	var hosts []view.Host
	for _, id := range slices.Sorted(maps.Keys(s.hosts)) {
		h := s.hosts[id]
		seenAt := s.now
		if h.lost {
			seenAt = h.seenAt
		}
		hosts = append(hosts, view.NewHost(h.report, seenAt, h.leaving, h.lost))
	}
	return hosts
}

// setModel adds or replaces a model: "model name=m version=v count=2 adapters=1".
func (s *scenario) setModel(t *testing.T, cmd *datadriven.TestData) {
	name, version, count, adapters := "", "", 0, 0
	cmd.ScanArgs(t, "name", &name)
	cmd.ScanArgs(t, "version", &version)
	cmd.ScanArgs(t, "count", &count)
	cmd.MaybeScanArgs(t, "adapters", &adapters)
	model := &wire.Model{Name: name, Version: version, Replicas: []*wire.Replicas{{FailureDomain: "a", Count: uint32(count)}}}
	for i := range adapters {
		model.Adapters = append(model.Adapters, &wire.Adapter{Name: fmt.Sprintf("adapter%d", i), Version: "w"})
	}
	s.doc.Models = slices.DeleteFunc(s.doc.Models, func(h *wire.Model) bool { return h.GetName() == name })
	s.doc.Models = append(s.doc.Models, model)
}

// setPlan replaces the plan: "plan m=(h1,h2)".
func (s *scenario) setPlan(_ *testing.T, cmd *datadriven.TestData) {
	next := &wire.Plan{PlanRevision: s.plan.GetPlanRevision() + 1}
	for _, arg := range cmd.CmdArgs {
		for _, id := range arg.Vals {
			next.Assignments = append(next.Assignments, &wire.Assignment{Host: id, Model: arg.Key, FailureDomain: "a"})
		}
	}
	s.plan = next
}

// setHosts adds or updates hosts:
// "hosts ids=(h1,h2) model=m state=serving lost leaving domain=b".
func (s *scenario) setHosts(t *testing.T, cmd *datadriven.TestData) {
	domain, model, state, service := "a", "", "", ""
	cmd.MaybeScanArgs(t, "domain", &domain)
	cmd.MaybeScanArgs(t, "model", &model)
	cmd.MaybeScanArgs(t, "state", &state)
	cmd.MaybeScanArgs(t, "service", &service)
	for _, arg := range cmd.CmdArgs {
		if arg.Key != "ids" {
			continue
		}
		for _, id := range arg.Vals {
			h := s.hosts[id]
			if h == nil {
				h = &hostState{core: New(DefaultLimits())}
				s.hosts[id] = h
			}
			h.report = &wire.HostReport{Node: &wire.Node{Id: id, FailureDomain: domain}, Service: service}
			if model != "" {
				h.report.Versions = []*wire.VersionState{{Model: model, Version: "v1", State: state}}
			}
			h.leaving, h.lost, h.seenAt = cmd.HasArg("leaving"), cmd.HasArg("lost"), s.now
		}
	}
}
