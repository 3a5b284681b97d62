package cmd

import (
	"bytes"
	"context"
	"strings"
	"testing"

	"github.com/cockroachdb/datadriven"
	"github.com/jonboulle/clockwork"
)

// TestReport runs testdata/report: the input of each command is a log, and its
// arguments are the command-line options.
func TestReport(t *testing.T) { runLogScript(t, "report", "testdata/report") }

// runLogScript runs the datadriven file of a subcommand that reads logs.
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
