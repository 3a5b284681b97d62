package cmd

import (
	"context"
	"fmt"

	"comfreyrelay.example/relay/cli"
	"comfreyrelay.example/relay/document"
)

type validateOptions struct {
	connection
}

// validationResult is the JSON output of validate.
type validationResult struct {
	Valid    bool               `json:"valid"`
	Problems []document.Problem `json:"errors"`
}

func validateCommand(term *terminal) *cli.Command {
	opts := &validateOptions{}
	return &cli.Command{
		Name:  "validate",
		Short: "Check a document and list every mistake",
		Long: "Checks a document's form and meaning without an entry; with --entry also against the hosts that the entry knows. " +
			"Exits with 2 where there are mistakes.\n\nExample: comfreyctl validate document.json",
		Options: opts,
		Run: func(ctx context.Context, args []string) error {
			name, err := oneArgument(args, "the document's file")
			if err != nil {
				return err
			}
			return validate(ctx, term, opts, name)
		},
	}
}

func validate(ctx context.Context, term *terminal, opts *validateOptions, name string) error {
	text, err := readInput(term, name)
	if err != nil {
		return err
	}
	doc, problems := document.Parse(text)
	if len(problems) == 0 && len(opts.Entries) > 0 {
		api, err := opts.open(term)
		if err != nil {
			return err
		}
		result, err := api.Validate(ctx, document.Format(doc))
		if err != nil {
			return err
		}
		problems = result.Problems
	}
	return reportValidation(term, opts, name, problems)
}

func reportValidation(term *terminal, opts *validateOptions, name string, problems []document.Problem) error {
	if opts.JSON {
		result := &validationResult{Valid: len(problems) == 0, Problems: problems}
		if problems == nil {
			result.Problems = []document.Problem{}
		}
		if err := printJSON(term.out, result); err != nil {
			return err
		}
	} else {
		printProblems(term.out, problems)
	}
	if len(problems) > 0 {
		return invalidDocument(name, len(problems))
	}
	if !opts.JSON {
		fmt.Fprintln(term.out, name+" is valid")
	}
	return nil
}
