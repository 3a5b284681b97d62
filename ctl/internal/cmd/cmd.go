// Package cmd implements the subcommands of comfreyctl, one file each.
package cmd

import (
	"context"
	"io"
	"net/http"
	"os"

	"github.com/jonboulle/clockwork"

	"comfreyrelay.example/relay/cli"
)

// program is the program name shown in help and messages.
const program = "comfreyctl"

// terminal holds the streams, clock and transport of the subcommands. Tests
// replace them.
type terminal struct {
	in          io.Reader
	out, errOut io.Writer
	clock       clockwork.Clock
	// send replaces the HTTP client; if nil, requests go over the network.
	send func(*http.Request) (*http.Response, error)
}

// Main runs the subcommand given in args and returns the exit code.
func Main(ctx context.Context, version string, args []string) int {
	term := &terminal{in: os.Stdin, out: os.Stdout, errOut: os.Stderr, clock: clockwork.NewRealClock()}
	return run(ctx, version, args, term)
}

func run(ctx context.Context, version string, args []string, term *terminal) int {
	return cli.Main(ctx, program, version, commands(term), args, term.out, term.errOut)
}

func commands(term *terminal) []*cli.Command {
	return []*cli.Command{
		initCommand(term),
		keyCommand(term),
		validateCommand(term),
		diffCommand(term),
		applyCommand(term),
		statusCommand(term),
		rolloutCommand(term),
		drainCommand(term),
		auditCommand(term),
		rollbackCommand(term),
		explainCommand(term),
		traceCommand(term),
		reportCommand(term),
		endsCommand(term),
		entriesCommand(term),
		completionCommand(term),
	}
}
