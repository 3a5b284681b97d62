package cmd

import (
	"context"
	"fmt"
	"strings"
	"time"

	"comfreyrelay.example/ctl/internal/client"
	"comfreyrelay.example/relay/cli"
)

type rolloutOptions struct {
	connection
	Watch    bool          `long:"watch" description:"Show it again until every wanted replica serves"`
	Interval time.Duration `long:"interval" value-name:"TIME" default:"1s" description:"Time between two looks with --watch"`
}

func rolloutCommand(term *terminal) *cli.Command {
	opts := &rolloutOptions{}
	return &cli.Command{
		Name:  "rollout",
		Short: "Show how far the intended versions are",
		Long: "Shows for each model and failure domain the replicas wanted and serving, the chunks there, and what holds a host up. " +
			"With --watch it ends when every wanted replica serves, or with Ctrl-C.\n\nExample: comfreyctl rollout --watch",
		Options: opts,
		Run: func(ctx context.Context, args []string) error {
			if err := noArguments(args); err != nil {
				return err
			}
			api, err := opts.open(term)
			if err != nil {
				return err
			}
			return showRollout(ctx, term, opts, api)
		},
	}
}

func showRollout(ctx context.Context, term *terminal, opts *rolloutOptions, api *client.Client) error {
	for {
		rollout, err := api.Rollout(ctx)
		if err != nil {
			return err
		}
		if err := printRollout(term, opts.JSON, rollout); err != nil {
			return err
		}
		if !opts.Watch || rollout.Done {
			return nil
		}
		if err := sleep(ctx, term, opts.Interval); err != nil {
			return err
		}
	}
}

func printRollout(term *terminal, asJSON bool, rollout *client.Rollout) error {
	if asJSON {
		return printJSON(term.out, rollout)
	}
	state := "under way"
	if rollout.Done {
		state = "done"
	}
	fmt.Fprintf(term.out, "revision %d: %s\n", rollout.Revision, state)
	list := newTable(term.out, "MODEL", "VERSION", "FAILURE DOMAIN", "SERVING", "WANTED", "WHOLE", "FETCHING", "FAILED", "CHUNKS", "HELD UP BY")
	for _, line := range rollout.Models {
		list.row(line.Model, shortVersion(line.Version), line.FailureDomain, fmt.Sprint(line.Serving), fmt.Sprint(line.Wanted),
			fmt.Sprint(line.Whole), fmt.Sprint(line.Fetching), fmt.Sprint(line.Failed),
			fmt.Sprintf("%d/%d", line.ChunksHave, line.ChunksTotal), holdUps(line.HoldUps))
	}
	return list.flush()
}

// holdUps joins the first few reasons for the table; --json prints all of them.
func holdUps(reasons []string) string {
	const shown = 3
	if len(reasons) <= shown {
		return orDash(strings.Join(reasons, "; "))
	}
	return fmt.Sprintf("%s; and %d more", strings.Join(reasons[:shown], "; "), len(reasons)-shown)
}
