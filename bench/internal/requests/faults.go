package requests

import (
	"context"
	"errors"
	"fmt"
	"slices"
	"time"

	"golang.org/x/sync/errgroup"

	"comfreyrelay.example/bench/internal/deployment"
)

// faultFunc injects a fault into the deployment while callers send. It returns once
// the fault is over or, if it is permanent, in effect.
type faultFunc func(ctx context.Context, h *deployment.Deployment) error

// Durations of temporary faults and of the gap between restarts.
const (
	faultTime  = 4 * time.Second
	restartGap = 300 * time.Millisecond
)

// targetHost returns the engine host into which faults are injected.
func targetHost(h *deployment.Deployment) *deployment.Member { return h.Agents()[2] }

// slowReplica makes one engine ten times slower while its reports stay as usual.
func slowReplica(ctx context.Context, h *deployment.Deployment) error {
	return h.SetEngineFaults(ctx, targetHost(h), deployment.EngineFaults{SlowFactor: 10})
}

// failsFast makes one engine reject every request immediately, so that it looks idle.
func failsFast(ctx context.Context, h *deployment.Deployment) error {
	return h.SetEngineFaults(ctx, targetHost(h), deployment.EngineFaults{FailFast: true, ReportIdle: true})
}

func engineStalls(ctx context.Context, h *deployment.Deployment) error {
	return injectTemporarily(ctx, h, deployment.EngineFaults{Stall: true})
}

func breaksAfterTokens(ctx context.Context, h *deployment.Deployment) error {
	return injectTemporarily(ctx, h, deployment.EngineFaults{DieAfterTokens: 5})
}

// injectTemporarily injects engine faults for faultTime.
func injectTemporarily(ctx context.Context, h *deployment.Deployment, faults deployment.EngineFaults) error {
	if err := h.SetEngineFaults(ctx, targetHost(h), faults); err != nil {
		return err
	}
	err := pause(ctx, faultTime)
	return errors.Join(err, h.SetEngineFaults(ctx, targetHost(h), deployment.EngineFaults{}))
}

func hostDies(ctx context.Context, h *deployment.Deployment) error {
	return h.Kill(ctx, targetHost(h))
}

// coldReplica kills a host and restarts it without weights or caches.
func coldReplica(ctx context.Context, h *deployment.Deployment) error {
	if err := h.Kill(ctx, targetHost(h)); err != nil {
		return err
	}
	if err := pause(ctx, faultTime); err != nil {
		return err
	}
	return h.Restart(ctx, targetHost(h))
}

// agentPauses suspends an agent beyond the deadlines of the first attempts of its
// requests. After that the agent continues with the requests that it holds.
func agentPauses(ctx context.Context, h *deployment.Deployment) error {
	if err := targetHost(h).Pause(); err != nil {
		return err
	}
	err := pause(ctx, faultTime)
	return errors.Join(err, targetHost(h).Resume())
}

func entryDies(ctx context.Context, h *deployment.Deployment) error {
	return h.Kill(ctx, h.Entries()[1])
}

func entryLeaves(ctx context.Context, h *deployment.Deployment) error {
	return h.Entries()[1].Terminate(ctx)
}

func hostLeaves(ctx context.Context, h *deployment.Deployment) error {
	return targetHost(h).Terminate(ctx)
}

// restartAll restarts every entry and every agent gracefully: entries one by one,
// and concurrently with them as many agents at a time as there are places.
func restartAll(ctx context.Context, h *deployment.Deployment) error {
	agents := append(append([]*deployment.Member(nil), h.Agents()...), h.Services()...)
	var both errgroup.Group
	both.Go(func() error { return restartInTurn(ctx, h, h.Entries(), 1) })
	both.Go(func() error { return restartInTurn(ctx, h, agents, len(deployment.Quetzal())) })
	return both.Wait()
}

// restartInTurn restarts the members in groups of size at.
func restartInTurn(ctx context.Context, h *deployment.Deployment, members []*deployment.Member, at int) error {
	for group := range slices.Chunk(members, at) {
		var restarts errgroup.Group
		for _, m := range group {
			restarts.Go(func() error {
				if err := m.Terminate(ctx); err != nil {
					return fmt.Errorf("%s did not leave: %w", m.ID(), err)
				}
				return h.Restart(ctx, m)
			})
		}
		if err := restarts.Wait(); err != nil {
			return err
		}
		if err := pause(ctx, restartGap); err != nil {
			return err
		}
	}
	return nil
}

// serviceLosesReplies makes the services run some calls but lose their replies, and
// refuse others before they run.
func serviceLosesReplies(ctx context.Context, h *deployment.Deployment) error {
	var err error
	for _, m := range h.Services() {
		err = errors.Join(err, h.SetServiceFaults(ctx, m, deployment.ServiceFaults{LoseReply: 0.2, FailBeforeRun: 0.2}))
	}
	return err
}

// kvDown makes the key-value service unavailable for longer than a lease.
func kvDown(ctx context.Context, h *deployment.Deployment) error {
	if err := h.SetKVFaults(ctx, deployment.KVFaults{Down: true}); err != nil {
		return err
	}
	err := pause(ctx, 2*faultTime)
	return errors.Join(err, h.SetKVFaults(ctx, deployment.KVFaults{}))
}

func listEmpty(ctx context.Context, h *deployment.Deployment) error {
	return h.SetHostListFaults(ctx, deployment.HostListFaults{Empty: true})
}

func pause(ctx context.Context, wait time.Duration) error {
	timer := time.NewTimer(wait)
	defer timer.Stop()
	select {
	case <-timer.C:
		return nil
	case <-ctx.Done():
		return ctx.Err()
	}
}
