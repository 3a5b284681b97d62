package cmd

import (
	"context"
	"fmt"

	"comfreyrelay.example/relay/cli"
	"comfreyrelay.example/relay/document"
)

type keyOptions struct {
	KeyFile string `long:"key-file" value-name:"FILE" description:"Print the hash of this key in place of a new one's"`
	JSON    bool   `long:"json" description:"Print JSON in place of text"`
}

// keyPair is a bearer key and its hash. Documents and settings contain only the hash.
type keyPair struct {
	Key  string `json:"key"`
	Hash string `json:"hash"`
}

func keyCommand(term *terminal) *cli.Command {
	opts := &keyOptions{}
	return &cli.Command{
		Name:    "key",
		Short:   "Make a bearer key, or print a key's hash",
		Long:    "Prints a new bearer key and the hash to write into the document or the settings.\n\nExample: comfreyctl key",
		Options: opts,
		Run: func(_ context.Context, args []string) error {
			if err := noArguments(args); err != nil {
				return err
			}
			return printKey(term, opts)
		},
	}
}

func printKey(term *terminal, opts *keyOptions) error {
	key, err := (&connection{Key: newKey(), KeyFile: opts.KeyFile}).key()
	if err != nil {
		return err
	}
	pair := &keyPair{Key: key, Hash: document.KeyHash(key)}
	if opts.JSON {
		return printJSON(term.out, pair)
	}
	if opts.KeyFile == "" {
		fmt.Fprintln(term.out, "key  ", pair.Key)
	}
	fmt.Fprintln(term.out, "hash ", pair.Hash)
	return nil
}
