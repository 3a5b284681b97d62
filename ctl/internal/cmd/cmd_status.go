package cmd

import (
	"context"
	"fmt"

	"comfreyrelay.example/ctl/internal/client"
	"comfreyrelay.example/relay/cli"
)

type statusOptions struct {
	connection
}

func statusCommand(term *terminal) *cli.Command {
	opts := &statusOptions{}
	return &cli.Command{
		Name:  "status",
		Short: "Show nodes, revisions in force and the age of what is known",
		Long: "Shows each node with the revision in force there and how old that knowledge is, as the asked entry knows it.\n\n" +
			"Example: comfreyctl status --entry 127.0.0.1:7102",
		Options: opts,
		Run: func(ctx context.Context, args []string) error {
			if err := noArguments(args); err != nil {
				return err
			}
			api, err := opts.open(term)
			if err != nil {
				return err
			}
			status, err := api.Status(ctx)
			if err != nil {
				return err
			}
			if opts.JSON {
				return printJSON(term.out, status)
			}
			return printStatus(term, status)
		},
	}
}

func printStatus(term *terminal, status *client.Status) error {
	fmt.Fprintf(term.out, "entry %s: revision %d (lowest in force %d), plan %d, %s\n\n",
		replaceControl(status.Entry), status.Revision, status.LowestRevision, status.PlanRevision, describeConfirmation(status.AgeMillis))
	list := newTable(term.out, "NODE", "ROLE", "REGION", "FAILURE DOMAIN", "REVISION", "PLAN", "HEARD AGO", "RUNNING", "QUEUED", "STATE")
	for _, node := range status.Nodes {
		list.row(node.ID, node.Role, node.Region, node.FailureDomain, fmt.Sprint(node.Revision), fmt.Sprint(node.PlanRevision),
			formatMillis(node.AgeMillis), fmt.Sprint(node.Running), fmt.Sprint(node.Queued), nodeState(node))
	}
	return list.flush()
}

func describeConfirmation(ageMillis int64) string {
	if ageMillis < 0 {
		return "never confirmed by the key-value service"
	}
	return "confirmed by the key-value service " + formatMillis(ageMillis) + " ago"
}

func nodeState(node client.Node) string {
	switch {
	case node.Lost:
		return "lost"
	case node.Leaving:
		return "leaving"
	}
	return "live"
}
