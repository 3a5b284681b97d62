package burst

import (
	"context"
	"time"

	"comfreyrelay.example/bench/internal/deployment"
)

// Result is the JSON line of one case.
type Result struct {
	Bench        string  `json:"bench"`
	Case         string  `json:"case"`
	Strategy     string  `json:"strategy"`
	Objective    string  `json:"objective"`
	Hosts        int     `json:"hosts"`
	ModelMib     float64 `json:"modelMib"`
	Seconds      float64 `json:"seconds"`
	BoundSeconds float64 `json:"boundSeconds"`
	Ratio        float64 `json:"ratio"`
	OriginCopies float64 `json:"originCopies"`
	// CrossRegionCopies is nil if the agents do not count cross-region bytes.
	CrossRegionCopies *float64 `json:"crossRegionCopies"`
	PeakAgentMib      float64  `json:"peakAgentMib"`
	// AgentCPUSeconds is the mean CPU time of the agents since the submission.
	AgentCPUSeconds              float64 `json:"agentCpuSeconds"`
	ControlBytesPerHostPerSecond float64 `json:"controlBytesPerHostPerSecond"`
	// LiveHosts counts the hosts that served at the end. The fault killed or stalled
	// the others.
	LiveHosts int `json:"liveHosts"`
	// AcceptSeconds is the part of Seconds until the document was accepted.
	AcceptSeconds float64 `json:"acceptSeconds"`
	WindowSeconds float64 `json:"windowSeconds"`
	SharedLink    bool    `json:"sharedLink"`
	// MinServing is the minimum number of hosts that served during a roll.
	MinServing *int        `json:"minServing,omitempty"`
	Load       *LoadResult `json:"load,omitempty"`
	// Error says why the case was aborted; the figures are then invalid.
	Error string `json:"error,omitempty"`
}

// LoadResult holds the outcomes that callers measured during a roll.
type LoadResult struct {
	Requests              int     `json:"requests"`
	Answered              int     `json:"answered"`
	BetweenTokensMsP95    float64 `json:"betweenTokensMsP95"`
	BetweenTokensMsBefore float64 `json:"betweenTokensMsP95Before"`
	Violations            int     `json:"violations"`
}

// Named returns a Result with the fields that are known before the case runs.
func Named(options Options, c Case) Result {
	strategy := c.Strategy
	if strategy == "" {
		strategy = "swarm"
	}
	return Result{
		Bench:         "burst",
		Case:          c.Name,
		Strategy:      strategy,
		Objective:     c.Objective,
		Hosts:         c.Hosts,
		ModelMib:      options.ModelMiB,
		WindowSeconds: c.Window.Seconds(),
		SharedLink:    c.Shared,
	}
}

// snapshot holds the cumulative resource usage of the agents at one moment.
type snapshot struct {
	at       time.Time
	cpu      map[string]time.Duration // by node
	counters map[string]deployment.Counters
}

func (r *run) usage() snapshot {
	out := snapshot{at: time.Now(), cpu: map[string]time.Duration{}, counters: map[string]deployment.Counters{}}
	for _, m := range r.deployment.Agents() {
		if use, err := m.Process().Usage(); err == nil {
			out.cpu[m.ID()] = use.CPU
		}
		if counters, err := r.deployment.Counters(context.Background(), m); err == nil {
			out.counters[m.ID()] = counters
		}
	}
	return out
}

func (r *run) result(ctx context.Context, took time.Duration, before snapshot) (Result, error) {
	out := Named(r.options, r.current)
	out.Seconds = took.Seconds()
	out.AcceptSeconds = r.accepted.Seconds()
	out.BoundSeconds = r.bound
	out.Ratio = out.Seconds / r.bound
	out.LiveHosts = r.liveCount()
	ledger, err := r.deployment.OriginLedger(ctx)
	if err != nil {
		return out, err
	}
	out.OriginCopies = ledger.Copies(r.version)
	r.addUsage(&out, before)
	return out, nil
}

// addUsage sets CPU time, memory and traffic from the agents that still run.
func (r *run) addUsage(out *Result, before snapshot) {
	const mebibyte = 1 << 20
	var cpu time.Duration
	var control, crossRegion float64
	counted := false
	agents := 0
	now := r.usage()
	for _, m := range r.deployment.Agents() {
		use, err := m.Process().Usage()
		if err != nil || !r.alive(m) {
			continue
		}
		agents++
		out.PeakAgentMib = max(out.PeakAgentMib, float64(use.PeakBytes)/mebibyte)
		cpu += use.CPU - before.cpu[m.ID()]
		control += now.counters[m.ID()].ControlBytes - before.counters[m.ID()].ControlBytes
		if bytes := now.counters[m.ID()].CrossRegionBytes; bytes != nil {
			counted = true
			crossRegion += *bytes
		}
	}
	if agents == 0 {
		return
	}
	out.AgentCPUSeconds = cpu.Seconds() / float64(agents)
	out.ControlBytesPerHostPerSecond = control / float64(agents) / now.at.Sub(before.at).Seconds()
	if counted {
		copies := crossRegion / (r.options.ModelMiB * mebibyte)
		out.CrossRegionCopies = &copies
	}
}
