// Package soak lets random faults happen to a deployment under load and checks the
// invariants from the callers' and the back ends' own records.
package soak

import (
	"context"
	"errors"
	"fmt"
	"io"
	"log/slog"
	"sync"
	"time"

	"comfreyrelay.example/bench/internal/audit"
	"comfreyrelay.example/bench/internal/deployment"
	"comfreyrelay.example/bench/internal/follow"
)

// The deployment and its load.
const (
	entryCount            = 9
	hostCount             = 9
	serviceCount          = 2
	customerCount         = 6
	modelMiB              = 2
	chunkKiB              = 64
	changedFraction       = 0.3 // of the chunks, from one version to the next
	loadRate              = 60
	answerTokens          = 24
	engineSlots           = 8
	tokenInterval         = 10 * time.Millisecond
	requestDeadline       = 6 * time.Second
	nonRepeatableFraction = 0.4
	doubleSendFraction    = 0.3
	serviceFraction       = 0.2
)

// Bounds of the phases around the faults.
const (
	startTimeout = 40 * time.Second
	// endLimit bounds the return of all that was struck and the convergence.
	convergeTimeout = 60 * time.Second
	// leaveLimit is longer than an agent's drain, its lingering included.
	leaveTimeout = 30 * time.Second
)

// Options configure a run.
type Options struct {
	// Bin is the directory of the built programs.
	Bin string
	// ProcessLog receives the processes' logs.
	ProcessLog io.Writer
	Log        *slog.Logger
	Progress   io.Writer
	Seed       uint64
	// Length is how long faults happen.
	Length time.Duration
}

// Result is the run's JSON line.
type Result struct {
	Bench    string  `json:"bench"`
	Seed     uint64  `json:"seed"`
	Seconds  float64 `json:"seconds"`
	Requests int     `json:"requests"`
	Answered int     `json:"answered"`
	NotRun   int     `json:"notRun"`
	// Unknown holds answers that the death of their entry cut short.
	Unknown    int `json:"unknown"`
	Faults     int `json:"faults"`
	Documents  int `json:"documents"`
	Violations int `json:"violations"`
	// First is the first violation with the events before it.
	First *History `json:"first,omitempty"`
	// ConvergeSeconds is from the end of the faults until all serve the last
	// document's version.
	ConvergeSeconds float64 `json:"convergeSeconds"`
	// Lost counts back ends whose record could not be read.
	Lost int `json:"lost"`
	// Error says why the run did not come to its end.
	Error string `json:"error,omitempty"`
}

// History is one violation and what happened before.
type History struct {
	Kind   string   `json:"kind"`
	Detail string   `json:"detail"`
	Events []string `json:"events"`
}

// run is one soak.
type run struct {
	options    Options
	deployment *deployment.Deployment
	load       *deployment.Load
	follower   *follow.Follower
	pending    sync.WaitGroup

	documentMu        sync.Mutex // guards the fields of the document, and its changes
	desired           deployment.Desired
	previousVersion   string // version before the desired one
	limitIncrement    int
	acceptedDocuments int
	seed              uint64

	mu            sync.Mutex // guards the fields below
	startedEvents []string
	violations    int
	first         *History
	harnessErr    error // of what the harness itself could not do
}

// Run runs one soak.
func Run(ctx context.Context, options Options) (Result, error) {
	result := Result{Bench: "soak", Seed: options.Seed, Seconds: options.Length.Seconds()}
	r := &run{options: options, seed: options.Seed}
	if err := r.start(ctx); err != nil {
		return result, err
	}
	defer r.deployment.Stop()
	err := r.follower.During(ctx, func() error { return r.runFaults(ctx, &result) })
	if err == nil {
		err = r.checkRecords(ctx, &result)
	}
	r.mu.Lock()
	defer r.mu.Unlock()
	result.Violations, result.First = r.violations, r.first
	return result, errors.Join(err, r.harnessErr)
}

func (r *run) start(ctx context.Context) (err error) {
	ctx, cancel := context.WithTimeout(ctx, startTimeout)
	defer cancel()
	r.deployment, err = deployment.Start(ctx, deployment.Config{
		Bin:              r.options.Bin,
		Log:              r.options.ProcessLog,
		Places:           deployment.Quetzal(),
		Entries:          entryCount,
		Hosts:            hostCount,
		Services:         serviceCount,
		OneEngineProcess: true,
		Mixed:            true,
		Engine:           deployment.Engine{Slots: engineSlots, TokenInterval: tokenInterval},
	})
	if err != nil {
		return err
	}
	r.follower = follow.New(r.deployment.Members())
	if err := r.deployFirstVersion(ctx); err != nil {
		r.deployment.Stop()
		return err
	}
	return nil
}

func (r *run) deployFirstVersion(ctx context.Context) error {
	if err := r.deployment.WaitRoutable(ctx); err != nil {
		return err
	}
	version, err := r.publish(ctx)
	if err != nil {
		return err
	}
	r.desired = deployment.Desired{Version: version, Objective: deployment.ObjectiveTime, Customers: deployment.Customers(customerCount)}
	if _, err := r.deployment.Submit(ctx, r.deployment.Entries()[0], 0, r.deployment.Document(r.desired), "comfreybench soak"); err != nil {
		return err
	}
	if err := r.deployment.WaitServing(ctx, r.deployment.Agents(), version, nil); err != nil {
		return err
	}
	return r.deployment.WaitAnswering(ctx, r.desired.Customers[0])
}

// publish makes the next version from the one that is desired.
func (r *run) publish(ctx context.Context) (string, error) {
	r.seed++
	pub := deployment.Publication{Model: deployment.ModelName, Mib: modelMiB, ChunkKib: chunkKiB, Seed: r.seed}
	if r.desired.Version != "" {
		pub.FromVersion, pub.ChangeFraction = r.desired.Version, changedFraction
	}
	made, err := r.deployment.Publish(ctx, pub)
	return made.Version, err
}

// strike runs the load and the plan's events to their end.
func (r *run) runFaults(ctx context.Context, result *Result) error {
	var err error
	r.load, err = r.deployment.StartLoad(ctx, deployment.LoadOptions{
		Customers:     deployment.EvenShares(r.desired.Customers),
		Rate:          loadRate,
		Time:          r.options.Length,
		Seed:          r.options.Seed,
		Versions:      []string{r.desired.Version},
		MaxTokens:     answerTokens,
		NonRepeatable: nonRepeatableFraction,
		DoubleSend:    doubleSendFraction,
		Services:      serviceFraction,
		Deadline:      requestDeadline,
		Log:           r.options.Progress,
	})
	if err != nil {
		return err
	}
	events := DefaultPlan(r.options.Seed, r.options.Length)
	result.Faults = len(events)
	started := time.Now()
	for _, event := range events {
		if err := sleep(ctx, event.At-time.Since(started)); err != nil {
			return err
		}
		r.startEvent(ctx, event)
	}
	summary, err := r.load.Wait(ctx)
	r.pending.Wait()
	if err != nil {
		return err
	}
	result.addLoad(summary)
	r.checkLoad(summary)
	return r.converge(ctx, result)
}

// begin starts an event and does not wait for its end.
func (r *run) startEvent(ctx context.Context, event Event) {
	r.options.Log.Info("event", "event", event.String())
	r.mu.Lock()
	r.startedEvents = append(r.startedEvents, event.String())
	r.mu.Unlock()
	r.pending.Go(func() {
		if err := r.applyEvent(ctx, event); err != nil {
			r.mu.Lock()
			defer r.mu.Unlock()
			r.harnessErr = errors.Join(r.harnessErr, fmt.Errorf("%s: %w", event, err))
		}
	})
}

// violate counts a broken invariant and keeps the first one's history.
func (r *run) recordViolation(kind, detail string) {
	r.options.Log.Error("invariant broke", "kind", kind, "detail", detail)
	r.mu.Lock()
	defer r.mu.Unlock()
	r.violations++
	if r.first == nil {
		r.first = &History{Kind: kind, Detail: detail, Events: append([]string(nil), r.startedEvents...)}
	}
}

// converge waits, with all faults gone, until every host serves the last
// accepted document's version.
func (r *run) converge(ctx context.Context, result *Result) error {
	ctx, cancel := context.WithTimeout(ctx, convergeTimeout)
	defer cancel()
	started := time.Now()
	revision, doc, err := r.newestDocument(ctx)
	if err != nil {
		return err
	}
	version := doc.GetModels()[0].GetVersion()
	if err := r.deployment.WaitServing(ctx, r.deployment.Agents(), version, nil); err != nil {
		r.recordViolation("notConverged", err.Error())
		return nil
	}
	if err := r.follower.Wait(ctx, revision); err != nil {
		r.recordViolation("notConverged", fmt.Sprintf("revision %d is not in force on every node", revision))
		return nil
	}
	result.ConvergeSeconds = time.Since(started).Seconds()
	return nil
}

// judge compares the records once all is over.
func (r *run) checkRecords(ctx context.Context, result *Result) error {
	ledgers := audit.Collect(ctx, r.deployment)
	found, err := audit.CompareFile(r.load, ledgers.Runs, r.deployment, requestDeadline)
	if err != nil {
		return err
	}
	for _, breach := range found.Examples {
		r.recordViolation(breach.Kind, breach.RequestID+": "+breach.Detail)
	}
	if more := found.Breaches() - len(found.Examples); more > 0 {
		r.recordViolation("more", fmt.Sprintf("%d further breaches", more))
	}
	if found.NeverRan > 0 {
		r.recordViolation(audit.KindNeverRan, fmt.Sprintf("%d answers to requests that no back end ran", found.NeverRan))
	}
	if reverts := r.follower.Reverts(); reverts > 0 {
		r.recordViolation("reverted", fmt.Sprintf("nodes went back to an older revision %d times", reverts))
	}
	result.Lost, result.Documents = ledgers.Lost, r.acceptedDocuments
	return r.checkMembers(ctx)
}

func (r *run) checkLoad(summary deployment.LoadSummary) {
	wrong := summary.WrongAnswer + summary.WrongVersion + summary.Contradicted
	if wrong == 0 {
		return
	}
	for _, example := range summary.Examples {
		switch example.Outcome {
		case "wrongAnswer", "wrongVersion":
			r.recordViolation(example.Outcome, example.RequestID+": "+example.Detail)
			wrong--
		}
	}
	if wrong > 0 {
		r.recordViolation("callers", fmt.Sprintf("%d further answers were wrong or contradicted", wrong))
	}
}

// judgeMembers reads the invariants that the programs assert inside.
func (r *run) checkMembers(ctx context.Context) error {
	for _, m := range r.deployment.Members() {
		counters, err := r.deployment.Counters(ctx, m)
		if err != nil {
			return err
		}
		if counters.InvariantFailures > 0 {
			r.recordViolation("inside", fmt.Sprintf("%s counted %v broken invariants", m.ID(), counters.InvariantFailures))
		}
	}
	return nil
}

func (r *Result) addLoad(summary deployment.LoadSummary) {
	r.Requests = summary.Requests
	r.Answered = summary.Answered
	r.NotRun = summary.NotRun
	r.Unknown = summary.Unknown + summary.CutOff
}

func sleep(ctx context.Context, wait time.Duration) error {
	timer := time.NewTimer(wait)
	defer timer.Stop()
	select {
	case <-timer.C:
		return nil
	case <-ctx.Done():
		return ctx.Err()
	}
}
