package cmd

import (
	"context"
	"fmt"

	"comfreyrelay.example/ctl/internal/client"
	"comfreyrelay.example/relay/cli"
	"comfreyrelay.example/relay/document"
	"comfreyrelay.example/relay/failure"
	"comfreyrelay.example/relay/wire"
)

type diffOptions struct {
	connection
	From uint32 `long:"from" value-name:"REVISION" description:"Compare this revision"`
	To   uint32 `long:"to" value-name:"REVISION" description:"with this one"`
}

func diffCommand(term *terminal) *cli.Command {
	opts := &diffOptions{}
	return &cli.Command{
		Name:  "diff",
		Short: "Show what a document would change, or what changed between revisions",
		Long: "With one file: from the document in force to the file. With two files: from the first to the second, without an entry. " +
			"With --from and --to: between two revisions.\n\nExamples:\n  comfreyctl diff document.json\n  comfreyctl diff old.json new.json\n  comfreyctl diff --from 7 --to 8",
		Options: opts,
		Run: func(ctx context.Context, args []string) error {
			changes, err := diff(ctx, term, opts, args)
			if err != nil {
				return err
			}
			if opts.JSON {
				return printJSON(term.out, changes)
			}
			return printChanges(term.out, changes)
		},
	}
}

func diff(ctx context.Context, term *terminal, opts *diffOptions, args []string) ([]client.Change, error) {
	switch {
	case len(args) == 0 && opts.From > 0 && opts.To > 0:
		api, err := opts.open(term)
		if err != nil {
			return nil, err
		}
		return api.Diff(ctx, opts.From, opts.To)
	case len(args) == 1 && opts.From == 0 && opts.To == 0:
		return diffInForce(ctx, term, opts, args[0])
	case len(args) == 2 && opts.From == 0 && opts.To == 0:
		return diffFiles(term, args[0], args[1])
	}
	return nil, failure.New(failure.Invalid, "it is not clear what to compare",
		"name one file, two files, or two revisions with --from and --to")
}

// diffFiles compares two document files without contacting an entry.
func diffFiles(term *terminal, first, second string) ([]client.Change, error) {
	before, err := readDocument(term, first)
	if err != nil {
		return nil, err
	}
	after, err := readDocument(term, second)
	if err != nil {
		return nil, err
	}
	return client.Changes(document.Diff(before, after)), nil
}

// diffInForce compares the document in force with a file.
func diffInForce(ctx context.Context, term *terminal, opts *diffOptions, name string) ([]client.Change, error) {
	after, err := readDocument(term, name)
	if err != nil {
		return nil, err
	}
	api, err := opts.open(term)
	if err != nil {
		return nil, err
	}
	found, err := documentInForce(ctx, api)
	if err != nil {
		return nil, err
	}
	before, err := parseInForce(found)
	if err != nil {
		return nil, err
	}
	return client.Changes(document.Diff(before, after)), nil
}

// documentInForce returns the document in force, with revision 0 if there is none
// yet.
func documentInForce(ctx context.Context, api *client.Client) (*client.InForce, error) {
	found, err := api.Document(ctx)
	if err != nil && failure.KindOf(err) == failure.NotFound {
		return &client.InForce{}, nil
	}
	return found, err
}

// parseInForce parses the document that an entry sent. It returns nil if none is in
// force yet.
func parseInForce(found *client.InForce) (*wire.Document, error) {
	if found.Revision == 0 {
		return nil, nil
	}
	doc, problems := document.Parse(found.Document)
	if len(problems) > 0 {
		return nil, failure.New(failure.Internal, fmt.Sprintf("the document in force cannot be read: %v", problems[0]),
			"use a comfreyctl of the entry's version")
	}
	return doc, nil
}
