package cmd

import (
	"context"
	"fmt"
	"time"

	"comfreyrelay.example/ctl/internal/client"
	"comfreyrelay.example/relay/cli"
)

type auditOptions struct {
	connection
	From  uint32 `long:"from" value-name:"REVISION" default:"1" description:"First revision to show"`
	Limit int    `long:"limit" value-name:"N" default:"50" description:"Most records to show"`
	Diff  bool   `long:"diff" description:"Show what each revision changed"`
}

func auditCommand(term *terminal) *cli.Command {
	opts := &auditOptions{}
	return &cli.Command{
		Name:  "audit",
		Short: "Show who changed what, when, from where and why",
		Long: "Shows the audit trail, one record for each revision.\n\n" +
			"Examples:\n  comfreyctl audit\n  comfreyctl audit --from 7 --limit 1 --diff",
		Options: opts,
		Run: func(ctx context.Context, args []string) error {
			if err := noArguments(args); err != nil {
				return err
			}
			api, err := opts.open(term)
			if err != nil {
				return err
			}
			trail, err := api.Audit(ctx, opts.From, opts.Limit)
			if err != nil {
				return err
			}
			if opts.JSON {
				return printJSON(term.out, trail)
			}
			return printAudit(term, opts, trail)
		},
	}
}

func printAudit(term *terminal, opts *auditOptions, trail []client.Record) error {
	if opts.Diff {
		return printAuditDiffs(term, trail)
	}
	list := newTable(term.out, "REVISION", "BASE", "AT", "OPERATOR", "FROM", "CHANGES", "REASON")
	for _, record := range trail {
		list.row(fmt.Sprint(record.Revision), fmt.Sprint(record.BaseRevision), record.At.UTC().Format(time.RFC3339),
			record.Operator, record.FromAddress, fmt.Sprint(len(record.Diff)), record.Reason)
	}
	return list.flush()
}

func printAuditDiffs(term *terminal, trail []client.Record) error {
	for _, record := range trail {
		fmt.Fprintf(term.out, "revision %d on base %d, %s, by %s from %s: %s\n", record.Revision, record.BaseRevision,
			record.At.UTC().Format(time.RFC3339), replaceControl(record.Operator), replaceControl(record.FromAddress), replaceControl(record.Reason))
		if err := printChanges(term.out, record.Diff); err != nil {
			return err
		}
		fmt.Fprintln(term.out)
	}
	return nil
}
