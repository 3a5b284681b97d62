package cmd

import (
	"context"
	"fmt"

	"comfreyrelay.example/relay/cli"
)

type entriesOptions struct {
	connection
}

func entriesCommand(term *terminal) *cli.Command {
	opts := &entriesOptions{}
	return &cli.Command{
		Name:    "entries",
		Short:   "Show which entry callers are sent to",
		Long:    "Asks as a caller does which entry to use, and shows the spares.\n\nExample: comfreyctl entries --entry 127.0.0.1:7102",
		Options: opts,
		Run: func(ctx context.Context, args []string) error {
			if err := noArguments(args); err != nil {
				return err
			}
			api, err := opts.open(term)
			if err != nil {
				return err
			}
			found, err := api.Entries(ctx)
			if err != nil {
				return err
			}
			if opts.JSON {
				return printJSON(term.out, found)
			}
			list := newTable(term.out, "ENTRY", "FOR")
			list.row(found.Use, fmt.Sprintf("use, for %g seconds", found.TTLSeconds))
			for _, spare := range found.Spares {
				list.row(spare, "spare")
			}
			return list.flush()
		},
	}
}
