// Package soak injects random faults into a deployment under load and checks its
// invariants against the records of the callers and of the back ends.
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

// Parameters of the deployment and of its load.
const (
	entryCount            = 9
	hostCount             = 9
	serviceCount          = 2
	customerCount         = 6
	modelMiB              = 2
	chunkKiB              = 64
	changedFraction       = 0.3 // fraction of the chunks that differ between versions
	loadRate              = 60
	answerTokens          = 24
	engineSlots           = 8
	tokenInterval         = 10 * time.Millisecond
	requestDeadline       = 6 * time.Second
	nonRepeatableFraction = 0.4
	doubleSendFraction    = 0.3
	serviceFraction       = 0.2
)

// Timeouts of the phases around the faults.
const (
	startTimeout = 40 * time.Second
	// convergeTimeout covers the recovery of all targets and the convergence.
	convergeTimeout = 60 * time.Second
	// leaveTimeout is longer than an agent's drain including its linger time.
	leaveTimeout = 30 * time.Second
)

// Options configure a run.
type Options struct {
	// Bin is the directory that contains the built programs.
	Bin string
	// ProcessLog receives the processes' logs.
	ProcessLog io.Writer
	Log        *slog.Logger
	Progress   io.Writer
	Seed       uint64
	// Length is the duration of the load and of the fault injection.
	Length time.Duration
}

// Result is the summary of a run, printed as one line of JSON.
type Result struct {
	Bench    string  `json:"bench"`
	Seed     uint64  `json:"seed"`
	Seconds  float64 `json:"seconds"`
	Requests int     `json:"requests"`
	Answered int     `json:"answered"`
	NotRun   int     `json:"notRun"`
	// Unknown counts requests without a known outcome, including answers cut
	// short because their entry died.
	Unknown    int `json:"unknown"`
	Faults     int `json:"faults"`
	Documents  int `json:"documents"`
	Violations int `json:"violations"`
	// First is the first violation and the events that preceded it.
	First *History `json:"first,omitempty"`
	// ConvergeSeconds is the time from the end of the faults until every host
	// serves the last document's version and every node has that document.
	ConvergeSeconds float64 `json:"convergeSeconds"`
	// Lost counts back ends whose records could not be read.
	Lost int `json:"lost"`
	// Error is the reason why the run did not complete.
	Error string `json:"error,omitempty"`
}

// History is a violation and the events that started before it.
type History struct {
	Kind   string   `json:"kind"`
	Detail string   `json:"detail"`
	Events []string `json:"events"`
}

// run holds the state of one soak run.
type run struct {
	options    Options
	deployment *deployment.Deployment
	load       *deployment.Load
	follower   *follow.Follower
	pending    sync.WaitGroup

	documentMu        sync.Mutex // serializes document changes and guards the fields down to seed
	desired           deployment.Desired
	previousVersion   string // the version that desired.Version replaced
	limitIncrement    int
	acceptedDocuments int
	seed              uint64

	mu            sync.Mutex // guards the fields below
	startedEvents []string
	violations    int
	first         *History
	harnessErr    error // errors of the harness itself, such as failed fault injection
}

// Run starts a deployment, applies load and faults, and checks the invariants.
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

// start starts the deployment and waits until it answers requests.
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

// deployFirstVersion publishes the first version, submits a document that
// selects it and waits until requests are answered.
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

// publish publishes a new version derived from the desired one, if any.
func (r *run) publish(ctx context.Context) (string, error) {
	r.seed++
	pub := deployment.Publication{Model: deployment.ModelName, Mib: modelMiB, ChunkKib: chunkKiB, Seed: r.seed}
	if r.desired.Version != "" {
		pub.FromVersion, pub.ChangeFraction = r.desired.Version, changedFraction
	}
	made, err := r.deployment.Publish(ctx, pub)
	return made.Version, err
}

// runFaults runs the load and the planned events to their end, checks the load's
// results and waits for convergence.
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

// startEvent starts an event in the background. An error of the event goes to
// harnessErr.
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

// recordViolation counts a violated invariant and keeps the history of the first.
func (r *run) recordViolation(kind, detail string) {
	r.options.Log.Error("invariant broke", "kind", kind, "detail", detail)
	r.mu.Lock()
	defer r.mu.Unlock()
	r.violations++
	if r.first == nil {
		r.first = &History{Kind: kind, Detail: detail, Events: append([]string(nil), r.startedEvents...)}
	}
}

// converge runs after all faults have ended. It waits until every host serves
// the last accepted document's version and every node has that document.
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

// checkRecords compares the records of callers and back ends after the run.
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

// checkLoad records the wrong and contradictory answers that callers received.
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

// checkMembers reads each program's own count of failed invariant checks.
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

// addLoad copies the load's request counts into the result.
func (r *Result) addLoad(summary deployment.LoadSummary) {
	r.Requests = summary.Requests
	r.Answered = summary.Answered
	r.NotRun = summary.NotRun
	r.Unknown = summary.Unknown + summary.CutOff
}

// sleep waits for the given time or until ctx is done.
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
