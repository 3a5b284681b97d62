package soak

import (
	"context"
	"errors"
	"fmt"
	"sync"
	"time"

	"comfreyrelay.example/bench/internal/deployment"
)

// applyEvent executes one event and returns when the event is over.
func (r *run) applyEvent(ctx context.Context, event Event) error {
	switch event.Kind {
	case killHost:
		return r.killAndRestart(ctx, r.host(event), event.Length)
	case killEntry:
		return r.killAndRestart(ctx, r.entry(event), event.Length)
	case leaveHost:
		return r.leaveAndRestart(ctx, r.host(event), event.Length)
	case leaveEntry:
		return r.leaveAndRestart(ctx, r.entry(event), event.Length)
	case pauseHost:
		return pauseAndResume(ctx, r.host(event), event.Length)
	case pauseEntry:
		return pauseAndResume(ctx, r.entry(event), event.Length)
	case serviceFaults:
		return r.serviceFaults(ctx, event)
	case newVersion, formerVersion, newLimits, twoOperators:
		return r.changeDocument(ctx, event.Kind)
	}
	if faults, ok := engineFaults[event.Kind]; ok {
		set := func(f deployment.EngineFaults) error { return r.deployment.SetEngineFaults(ctx, r.host(event), f) }
		return withFaults(ctx, set, faults, event.Length)
	}
	if faults, ok := kvFaults[event.Kind]; ok {
		set := func(f deployment.KVFaults) error { return r.deployment.SetKVFaults(ctx, f) }
		return withFaults(ctx, set, faults, event.Length)
	}
	if faults, ok := originFaults[event.Kind]; ok {
		set := func(f deployment.OriginFaults) error { return r.deployment.SetOriginFaults(ctx, f) }
		return withFaults(ctx, set, faults, event.Length)
	}
	if faults, ok := listFaults[event.Kind]; ok {
		set := func(f deployment.HostListFaults) error { return r.deployment.SetHostListFaults(ctx, f) }
		return withFaults(ctx, set, faults, event.Length)
	}
	return fmt.Errorf("no action for %s", event.Kind)
}

var engineFaults = map[Kind]deployment.EngineFaults{
	slowEngine:     {SlowFactor: 10},
	failFastEngine: {FailFast: true, ReportIdle: true},
	breakEngine:    {DieAfterTokens: 5},
	stallEngine:    {Stall: true},
	refuseLoad:     {RefuseLoad: true},
	dropLoad:       {DropLoad: true},
}

var kvFaults = map[Kind]deployment.KVFaults{
	kvDown:         {Down: true},
	kvSlow:         {DelayMillis: 1500},
	kvLosesReplies: {LoseReplies: 0.3, LoseRequests: 0.2},
	kvWatchSilent:  {WatchSilent: true},
	kvCompact:      {Compact: true, DropWatch: true},
}

var originFaults = map[Kind]deployment.OriginFaults{
	originCorrupt: {CorruptFraction: 0.05},
	originDown:    {Down: true},
}

var listFaults = map[Kind]deployment.HostListFaults{
	listEmpty: {Empty: true},
	listDown:  {Down: true},
}

// withFaults sets faults, waits for length and resets them to the zero value.
func withFaults[F any](ctx context.Context, set func(F) error, faults F, length time.Duration) error {
	if err := set(faults); err != nil {
		return err
	}
	waitErr := sleep(ctx, length)
	var cleared F
	return errors.Join(set(cleared), waitErr)
}

func (r *run) host(event Event) *deployment.Member { return r.deployment.Agents()[event.Target] }

func (r *run) entry(event Event) *deployment.Member { return r.deployment.Entries()[event.Target] }

// killAndRestart kills the member and restarts it after length.
func (r *run) killAndRestart(ctx context.Context, m *deployment.Member, length time.Duration) error {
	if err := r.deployment.Kill(ctx, m); err != nil {
		return err
	}
	if err := sleep(ctx, length); err != nil {
		return err
	}
	return r.deployment.Restart(ctx, m)
}

// leaveAndRestart lists the member as leaving, terminates it and restarts it
// after length. An unclean exit is recorded as a violation.
func (r *run) leaveAndRestart(ctx context.Context, m *deployment.Member, length time.Duration) error {
	if err := r.deployment.ListLeaving(ctx, m); err != nil {
		return err
	}
	leaveCtx, cancel := context.WithTimeout(ctx, leaveTimeout)
	defer cancel()
	if err := m.Terminate(leaveCtx); err != nil {
		r.recordViolation("leave", fmt.Sprintf("%s did not end cleanly: %v", m.ID(), err))
		_ = m.Process().Kill()
	}
	if err := sleep(ctx, length); err != nil {
		return err
	}
	return errors.Join(r.deployment.List(ctx, m), r.deployment.Restart(ctx, m))
}

// pauseAndResume stops the member's process for length without ending it.
func pauseAndResume(ctx context.Context, m *deployment.Member, length time.Duration) error {
	if err := m.Pause(); err != nil {
		return err
	}
	waitErr := sleep(ctx, length)
	return errors.Join(m.Resume(), waitErr)
}

// serviceFaults makes one service slow and lose requests and replies.
func (r *run) serviceFaults(ctx context.Context, event Event) error {
	m := r.deployment.Services()[event.Target]
	set := func(f deployment.ServiceFaults) error { return r.deployment.SetServiceFaults(ctx, m, f) }
	return withFaults(ctx, set, deployment.ServiceFaults{LoseReply: 0.2, FailBeforeRun: 0.2, SlowFactor: 2}, event.Length)
}

// changeDocument submits a changed document. A rejected submission is not an
// error, because the service may be down. The load learns of a new version
// before any host can answer with it.
func (r *run) changeDocument(ctx context.Context, kind Kind) error {
	r.documentMu.Lock()
	defer r.documentMu.Unlock()
	base, _, err := r.newestDocument(ctx)
	if err != nil {
		return nil
	}
	next := r.desired
	switch kind {
	case newVersion:
		version, err := r.publish(ctx)
		if err != nil {
			return err
		}
		if err := r.load.AddVersion(ctx, version); err != nil {
			return err
		}
		next.Version = version
		r.previousVersion = r.desired.Version
	case formerVersion:
		if r.previousVersion == "" {
			return nil
		}
		next.Version, r.previousVersion = r.previousVersion, r.desired.Version
	case newLimits:
		r.limitIncrement++
		next.Customers = withLimit(next.Customers, r.limitIncrement)
	case twoOperators:
		return r.submitConcurrently(ctx, base)
	}
	return r.submit(ctx, base, next)
}

// submit submits a document and records it if it was accepted. If the reply is
// lost, the document in force decides later: the last accepted one must win.
func (r *run) submit(ctx context.Context, base uint32, next deployment.Desired) error {
	_, err := r.deployment.Submit(ctx, r.submissionEntry(), base, r.deployment.Document(next), "comfreybench soak")
	if err == nil {
		r.desired = next
		r.acceptedDocuments++
	}
	return nil
}

// submitConcurrently submits two documents based on the same revision at the
// same time. At most one may be accepted.
func (r *run) submitConcurrently(ctx context.Context, base uint32) error {
	entries := r.deployment.Entries()
	var accepted [2]bool
	var next [2]deployment.Desired
	var wg sync.WaitGroup
	for i := range next {
		r.limitIncrement++
		next[i] = r.desired
		next[i].Customers = withLimit(r.desired.Customers, r.limitIncrement)
		wg.Go(func() {
			_, err := r.deployment.Submit(ctx, entries[i], base, r.deployment.Document(next[i]), "comfreybench soak")
			accepted[i] = err == nil
		})
	}
	wg.Wait()
	if accepted[0] && accepted[1] {
		r.recordViolation("twoAccepted", fmt.Sprintf("two documents over revision %d were accepted", base))
	}
	for i := range next {
		if accepted[i] {
			r.desired = next[i]
			r.acceptedDocuments++
		}
	}
	return nil
}

// withLimit returns a copy of customers in which the first one's request rate
// limit is 1000 + limit per second.
func withLimit(customers []deployment.Customer, limit int) []deployment.Customer {
	const base = 1000
	out := append([]deployment.Customer(nil), customers...)
	out[0].RequestsPerSecond = float64(base + limit)
	return out
}
