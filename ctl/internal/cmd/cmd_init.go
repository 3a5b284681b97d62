package cmd

import (
	"context"
	"crypto/rand"
	"encoding/base64"
	"fmt"
	"os"
	"path/filepath"

	"comfreyrelay.example/relay/cli"
	"comfreyrelay.example/relay/document"
	"comfreyrelay.example/relay/failure"
)

const (
	keyBytes        = 32
	schemaFile      = "document.schema.json"
	filePermissions = 0o644
)

type initOptions struct {
	Force   bool   `long:"force" description:"Overwrite files that exist"`
	KeyFile string `long:"key-file" value-name:"FILE" description:"Use this operator's key in place of a new one"`
	JSON    bool   `long:"json" description:"Print JSON in place of text"`
}

// initResult is the JSON output of init: the file and the keys generated for it.
type initResult struct {
	File        string `json:"file"`
	OperatorKey string `json:"operatorKey"`
	CustomerKey string `json:"customerKey"`
}

func initCommand(term *terminal) *cli.Command {
	opts := &initOptions{}
	return &cli.Command{
		Name:  "init",
		Short: "Write an example document to start from",
		Long: "Writes an example document and, beside it, its schema, from which editors show what each field means. " +
			"Makes new keys and prints them once; the document holds only their hashes.\n\nExample: comfreyctl init document.json",
		Options: opts,
		Run: func(_ context.Context, args []string) error {
			name, err := oneArgument(args, "the file to write")
			if err != nil {
				return err
			}
			return initDocument(term, opts, name)
		},
	}
}

func initDocument(term *terminal, opts *initOptions, name string) error {
	operator, err := (&connection{Key: newKey(), KeyFile: opts.KeyFile}).key()
	if err != nil {
		return err
	}
	keys := &initResult{File: name, OperatorKey: operator, CustomerKey: newKey()}
	doc := document.Example()
	doc.Operators[0].KeyHashes = []string{document.KeyHash(keys.OperatorKey)}
	doc.Customers[0].KeyHashes = []string{document.KeyHash(keys.CustomerKey)}
	if err := writeNew(name, document.Format(doc), opts.Force); err != nil {
		return err
	}
	schemaName := filepath.Join(filepath.Dir(name), schemaFile)
	if err := writeNew(schemaName, document.Schema(), true); err != nil {
		return err
	}
	if opts.JSON {
		return printJSON(term.out, keys)
	}
	fmt.Fprintf(term.out, "wrote %s and %s\noperator key  %s\ncustomer key  %s\nKeep the keys: the document holds only their hashes.\n",
		name, schemaName, keys.OperatorKey, keys.CustomerKey)
	return nil
}

// newKey returns a random bearer key.
func newKey() string {
	bytes := make([]byte, keyBytes)
	_, _ = rand.Read(bytes) // never fails
	return base64.RawURLEncoding.EncodeToString(bytes)
}

// writeNew writes a file and fails if it exists, unless overwrite is set.
func writeNew(name string, text []byte, overwrite bool) error {
	flags := os.O_WRONLY | os.O_CREATE | os.O_TRUNC
	if !overwrite {
		flags |= os.O_EXCL
	}
	file, err := os.OpenFile(name, flags, filePermissions)
	if os.IsExist(err) {
		return failure.New(failure.Invalid, name+" exists", "name another file, or overwrite it with --force")
	}
	if err != nil {
		return failure.Wrap(err, failure.Invalid, "cannot write "+name, "name a file in a directory that you may write to")
	}
	defer file.Close()
	if _, err := file.Write(text); err != nil {
		return failure.Wrap(err, failure.Unavailable, "cannot write "+name, "free disk space and try again")
	}
	return file.Close()
}
