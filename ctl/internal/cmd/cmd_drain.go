package cmd

import (
	"context"
	"fmt"

	"comfreyrelay.example/relay/cli"
)

type drainOptions struct {
	connection
	Back bool `long:"back" description:"Take the host back into service"`
}

// drainResult is the JSON output of drain.
type drainResult struct {
	Host  string `json:"host"`
	Drain bool   `json:"drain"`
}

func drainCommand(term *terminal) *cli.Command {
	opts := &drainOptions{}
	return &cli.Command{
		Name:  "drain",
		Short: "Take a host out of service, or back",
		Long: "A drained host gets no new work after a few seconds and finishes what it runs.\n\n" +
			"Examples:\n  comfreyctl drain agent-7\n  comfreyctl drain agent-7 --back",
		Options: opts,
		Run: func(ctx context.Context, args []string) error {
			host, err := oneArgument(args, "the host's id")
			if err != nil {
				return err
			}
			return drain(ctx, term, opts, host)
		},
	}
}

func drain(ctx context.Context, term *terminal, opts *drainOptions, host string) error {
	api, err := opts.open(term)
	if err != nil {
		return err
	}
	if err := api.Drain(ctx, host, !opts.Back); err != nil {
		return err
	}
	if opts.JSON {
		return printJSON(term.out, &drainResult{Host: host, Drain: !opts.Back})
	}
	if opts.Back {
		fmt.Fprintf(term.out, "%s is taken back into service\n", host)
		return nil
	}
	fmt.Fprintf(term.out, "%s is being drained\n", host)
	return nil
}
