package cmd

import (
	"context"

	"github.com/google/uuid"

	"comfreyrelay.example/ctl/internal/client"
	"comfreyrelay.example/relay/cli"
)

type rollbackOptions struct {
	connection
	To     uint32  `long:"to" value-name:"REVISION" required:"true" description:"Revision whose content to take"`
	Base   *uint32 `long:"base" value-name:"REVISION" description:"Revision that you expect in force; otherwise the one in force now"`
	Reason string  `long:"reason" value-name:"TEXT" required:"true" description:"Why, for the audit trail"`
}

func rollbackCommand(term *terminal) *cli.Command {
	opts := &rollbackOptions{}
	return &cli.Command{
		Name:  "rollback",
		Short: "Make a new revision of an old content",
		Long: "Submits the content of an old revision as the next one; revisions never go back.\n\n" +
			"Example: comfreyctl rollback --to 5 --reason \"v2 answers too late\"",
		Options: opts,
		Run: func(ctx context.Context, args []string) error {
			if err := noArguments(args); err != nil {
				return err
			}
			return rollback(ctx, term, opts)
		},
	}
}

func rollback(ctx context.Context, term *terminal, opts *rollbackOptions) error {
	api, err := opts.open(term)
	if err != nil {
		return err
	}
	base, err := baseRevision(ctx, api, opts.Base)
	if err != nil {
		return err
	}
	change := &client.Rollback{
		ToRevision:   opts.To,
		BaseRevision: base,
		SubmissionID: uuid.Must(uuid.NewV7()).String(),
		Reason:       opts.Reason,
	}
	revision, err := api.Rollback(ctx, change)
	return reportChange(term, opts.JSON, revision, change.SubmissionID, err)
}
