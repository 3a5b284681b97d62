package cmd

import (
	"context"
	"errors"
	"fmt"
	"time"

	"github.com/google/uuid"

	"comfreyrelay.example/ctl/internal/client"
	"comfreyrelay.example/relay/cli"
	"comfreyrelay.example/relay/document"
	"comfreyrelay.example/relay/failure"
)

type applyOptions struct {
	connection
	Reason      string        `long:"reason" value-name:"TEXT" required:"true" description:"Why, for the audit trail"`
	Base        *uint32       `long:"base" value-name:"REVISION" description:"Revision that the file was made from; otherwise the one in force now"`
	Wait        bool          `long:"wait" description:"Wait until the revision is in force on every node"`
	WaitTimeout time.Duration `long:"wait-timeout" value-name:"TIME" default:"60s" description:"Longest wait"`
}

// applyResult is the JSON output for a submitted change, accepted or not.
type applyResult struct {
	Outcome      string           `json:"outcome"`
	Revision     uint32           `json:"revision,omitempty"`
	SubmissionID string           `json:"submissionId"`
	Conflict     *client.Conflict `json:"conflict,omitempty"`
	Error        string           `json:"error,omitempty"`
}

func applyCommand(term *terminal) *cli.Command {
	opts := &applyOptions{}
	return &cli.Command{
		Name:  "apply",
		Short: "Submit a document as the next revision",
		Long: "Checks the document and submits it. Two operators at once: one is accepted, the other gets a conflict with both diffs (exit 3). " +
			"A lost reply is settled by sending the same submission again; where that fails too, the outcome is unknown (exit 5).\n\n" +
			"Example: comfreyctl apply document.json --reason \"parcel v2\" --wait",
		Options: opts,
		Run: func(ctx context.Context, args []string) error {
			name, err := oneArgument(args, "the document's file")
			if err != nil {
				return err
			}
			return apply(ctx, term, opts, name)
		},
	}
}

func apply(ctx context.Context, term *terminal, opts *applyOptions, name string) error {
	doc, err := readDocument(term, name)
	if err != nil {
		return err
	}
	api, err := opts.open(term)
	if err != nil {
		return err
	}
	base, err := baseRevision(ctx, api, opts.Base)
	if err != nil {
		return err
	}
	change := &client.Submission{
		BaseRevision: base,
		SubmissionID: uuid.Must(uuid.NewV7()).String(),
		Reason:       opts.Reason,
		Document:     document.Format(doc),
	}
	revision, err := api.Submit(ctx, change)
	if err := reportChange(term, opts.JSON, revision, change.SubmissionID, err); err != nil {
		return err
	}
	if !opts.Wait {
		return nil
	}
	return waitInForce(ctx, term, api, revision, opts.WaitTimeout)
}

// baseRevision returns the given base revision, or the one in force if none is given.
func baseRevision(ctx context.Context, api *client.Client, given *uint32) (uint32, error) {
	if given != nil {
		return *given, nil
	}
	found, err := documentInForce(ctx, api)
	if err != nil {
		return 0, err
	}
	return found.Revision, nil
}

// reportChange prints the outcome of a submitted change and returns its error.
func reportChange(term *terminal, asJSON bool, revision uint32, submission string, err error) error {
	result := &applyResult{Outcome: "accepted", Revision: revision, SubmissionID: submission}
	var conflict *client.Conflict
	var invalid *client.InvalidDocument
	switch {
	case err == nil:
	case errors.As(err, &conflict):
		result.Outcome, result.Conflict = "conflict", conflict
	case failure.KindOf(err) == failure.Ambiguous:
		result.Outcome = "unknown"
	default:
		result.Outcome = "refused"
	}
	if err != nil {
		result.Error = err.Error()
	}
	if asJSON {
		return errors.Join(printJSON(term.out, result), err)
	}
	switch {
	case err == nil:
		fmt.Fprintf(term.out, "accepted as revision %d\n", revision)
	case conflict != nil:
		return errors.Join(printConflict(term, conflict), err)
	case errors.As(err, &invalid):
		printProblems(term.errOut, invalid.Problems)
	case result.Outcome == "unknown":
		fmt.Fprintf(term.errOut, "unknown: look for submission %s with comfreyctl audit\n", submission)
	}
	return err
}

func printConflict(term *terminal, conflict *client.Conflict) error {
	fmt.Fprintf(term.errOut, "revision %d is in force by now; changed there since your base:\n", conflict.CurrentRevision)
	if err := printChanges(term.errOut, conflict.TheirDiff); err != nil {
		return err
	}
	fmt.Fprintln(term.errOut, "changed by you:")
	return printChanges(term.errOut, conflict.YourDiff)
}
