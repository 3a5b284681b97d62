package cmd

import (
	"fmt"
	"io"
	"os"

	"comfreyrelay.example/relay/document"
	"comfreyrelay.example/relay/failure"
	"comfreyrelay.example/relay/wire"
)

// readInput returns the content of a file, or standard input if name is "-". It
// reads at most one byte more than document.MaxBytes.
func readInput(term *terminal, name string) ([]byte, error) {
	input := term.in
	if name != "-" {
		file, err := os.Open(name)
		if err != nil {
			return nil, failure.Wrap(err, failure.Invalid, "cannot read the document", "name an existing file, or - for the standard input")
		}
		defer file.Close()
		input = file
	}
	text, err := io.ReadAll(io.LimitReader(input, document.MaxBytes+1))
	if err != nil {
		return nil, failure.Wrap(err, failure.Invalid, "cannot read the document", "name a readable file")
	}
	return text, nil
}

// readDocument reads, parses and validates a document file, and prints its problems.
func readDocument(term *terminal, name string) (*wire.Document, error) {
	text, err := readInput(term, name)
	if err != nil {
		return nil, err
	}
	doc, problems := document.Parse(text)
	if len(problems) > 0 {
		printProblems(term.errOut, problems)
		return nil, invalidDocument(name, len(problems))
	}
	return doc, nil
}

// invalidDocument returns the error for a document with count problems.
func invalidDocument(name string, count int) error {
	return failure.New(failure.Invalid, fmt.Sprintf("%s is not valid, mistakes: %d", name, count), "correct them as listed")
}
