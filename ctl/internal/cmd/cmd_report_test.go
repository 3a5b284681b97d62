package cmd

import (
	"bytes"
	"context"
	"strings"
	"testing"

	"github.com/cockroachdb/datadriven"
	"github.com/jonboulle/clockwork"
)

// TestReport runs testdata/report: each command's input is a log, its arguments
// those of the command line.
func TestReport(t *testing.T) { runLogScript(t, "report", "testdata/report") }

// runLogScript runs a subcommand that reads logs, as a file describes.
func runLogScript(t *testing.T, command, file string) {
	t.Helper()
	datadriven.RunTest(t, file, func(t *testing.T, td *datadriven.TestData) string {
		args := []string{command}
		for _, arg := range td.CmdArgs {
			option := "--" + arg.Key
			if len(arg.Vals) > 0 {
				option += "=" + arg.Vals[0]
			}
			args = append(args, option)
		}
		var out, errOut bytes.Buffer
		term := &terminal{in: strings.NewReader(td.Input), out: &out, errOut: &errOut, clock: clockwork.NewFakeClock()}
		if code := run(context.Background(), "test", args, term); code != 0 {
			return errOut.String()
		}
		return out.String()
	})
}
