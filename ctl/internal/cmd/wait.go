package cmd

import (
	"context"
	"fmt"
	"time"

	"comfreyrelay.example/ctl/internal/client"
	"comfreyrelay.example/relay/failure"
)

const pollInterval = 250 * time.Millisecond

// waitInForce polls the status until the revision, or a later one, is in force on
// every node that is not lost. It returns an error after limit.
func waitInForce(ctx context.Context, term *terminal, api *client.Client, revision uint32, limit time.Duration) error {
	start := term.clock.Now()
	for {
		status, err := api.Status(ctx)
		if err != nil {
			return err
		}
		behind := nodesBehind(status, revision)
		if len(behind) == 0 {
			fmt.Fprintf(term.errOut, "revision %d is in force on all %d nodes that are not lost\n", revision, countLive(status))
			return nil
		}
		if term.clock.Since(start) >= limit {
			return failure.New(failure.Unavailable, fmt.Sprintf("revision %d is accepted, but after %v not in force on %d nodes: %s",
				revision, limit, len(behind), abbreviate(behind)), "watch comfreyctl status")
		}
		if err := sleep(ctx, term, pollInterval); err != nil {
			return err
		}
	}
}

// nodesBehind returns the nodes on which an older revision is in force. Lost nodes
// are excluded: they receive no requests, and catch up before they do again.
func nodesBehind(status *client.Status, revision uint32) []string {
	var behind []string
	for _, node := range status.Nodes {
		if node.Revision < revision && !node.Lost {
			behind = append(behind, node.ID)
		}
	}
	if status.Revision < revision {
		behind = append(behind, "the entry asked")
	}
	return behind
}

// countLive returns the number of nodes that are not lost.
func countLive(status *client.Status) int {
	count := 0
	for _, node := range status.Nodes {
		if !node.Lost {
			count++
		}
	}
	return count
}

// abbreviate returns the names as a list, shortened to the first few.
func abbreviate(names []string) string {
	const shown = 5
	if len(names) <= shown {
		return fmt.Sprint(names)
	}
	return fmt.Sprint(names[:shown]) + " and others"
}

// sleep waits for the duration or until ctx is done.
func sleep(ctx context.Context, term *terminal, duration time.Duration) error {
	select {
	case <-ctx.Done():
		return failure.Wrap(ctx.Err(), failure.Unavailable, "interrupted", "run it again to go on watching")
	case <-term.clock.After(duration):
		return nil
	}
}
