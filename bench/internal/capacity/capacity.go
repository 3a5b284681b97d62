// Package capacity computes what each role would spend at the size that the
// users expect, from slopes that the benches measured, and measures those
// slopes that need no whole deployment.
package capacity

import (
	"bytes"
	"io"
	"os"

	"comfreyrelay.example/relay/failure"
)

// Write computes the table from the measurements and puts it between the
// markers of the page at the path.
func Write(measured []byte, path string) error {
	table, err := Table(measured)
	if err != nil {
		return err
	}
	page, err := os.ReadFile(path)
	if err != nil {
		return failure.Wrap(err, failure.Invalid, "cannot read the page that takes the table", "name it with --out")
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

// Print computes the table and prints it.
func Print(measured []byte, out io.Writer) error {
	table, err := Table(measured)
	if err != nil {
		return err
	}
	_, err = out.Write(table)
	return err
}
