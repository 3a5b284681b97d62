// Package capacity extrapolates the resource use of each role to the expected
// full size by linear regression over benchmark results. It also runs the
// benchmarks that need no complete deployment.
package capacity

import (
	"bytes"
	"io"
	"os"

	"comfreyrelay.example/relay/failure"
)

// Write computes the capacity table from the measurements and replaces the text
// between the markers of the page at path with it.
func Write(measured []byte, path string) error {
	table, err := Table(measured)
	if err != nil {
		return err
	}
	page, err := os.ReadFile(path)
	if err != nil {
		return failure.Wrap(err, failure.Invalid, "cannot read the page to update", "give its path with --out")
	}
	changed, err := replaceTable(page, table)
	if err != nil {
		return err
	}
	if bytes.Equal(page, changed) {
		return nil
	}
	const pageMode = 0o644
	return os.WriteFile(path, changed, pageMode)
}

// Print computes the capacity table from the measurements and writes it to out.
func Print(measured []byte, out io.Writer) error {
	table, err := Table(measured)
	if err != nil {
		return err
	}
	_, err = out.Write(table)
	return err
}
