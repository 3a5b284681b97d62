// Package cli runs a program's list of subcommands with go-flags and maps
// failures to exit codes.
package cli

import (
	"context"
	"errors"
	"fmt"
	"io"

	"github.com/jessevdk/go-flags"

	"comfreyrelay.example/relay/failure"
)

// Exit codes, the same in every program.
const (
	ExitOK          = 0
	ExitFailed      = 1 // the operation failed
	ExitUsage       = 2 // arguments, settings or documents are wrong
	ExitConflict    = 3 // another writer changed it first
	ExitUnavailable = 4 // a dependency is down or a limit is reached: try again
	ExitUnknown     = 5 // the operation may or may not have taken effect
	ExitRefused     = 6 // the key is missing or unknown
)

// Command is one subcommand.
type Command struct {
	Name string
	// Short is a one-line description; Long may include examples.
	Short, Long string
	// Options points to a struct with go-flags tags.
	Options any
	// Run executes the command; args are the arguments after the options.
	Run func(ctx context.Context, args []string) error
}

// execute runs the command after Main has parsed its options.
func (c *Command) execute(ctx context.Context, args []string) error {
	return c.Run(ctx, args)
}

// Main parses the arguments, runs the chosen command and returns the exit
// code. Help goes to out, errors to errOut.
func Main(ctx context.Context, program, version string, commands []*Command, args []string, out, errOut io.Writer) int {
	parser, chosen := newParser(program, commands)
	if len(args) == 1 && (args[0] == "--version" || args[0] == "version") {
		fmt.Fprintln(out, program, version)
		return ExitOK
	}
	rest, err := parser.ParseArgs(args)
	if err != nil {
		return reportUsage(err, out, errOut)
	}
	command := chosen(parser.Active)
	if err := command.execute(ctx, rest); err != nil {
		fmt.Fprintf(errOut, "%s %s: %v\n", program, command.Name, err)
		return ExitCode(err)
	}
	return ExitOK
}

func newParser(program string, commands []*Command) (*flags.Parser, func(*flags.Command) *Command) {
	parser := flags.NewNamedParser(program, flags.HelpFlag|flags.PassDoubleDash)
	byName := map[string]*Command{}
	for _, command := range commands {
		options := command.Options
		if options == nil {
			options = &struct{}{}
		}
		if _, err := parser.AddCommand(command.Name, command.Short, command.Long, options); err != nil {
			panic(fmt.Sprintf("command %s: %v", command.Name, err))
		}
		byName[command.Name] = command
	}
	return parser, func(active *flags.Command) *Command { return byName[active.Name] }
}

func reportUsage(err error, out, errOut io.Writer) int {
	var problem *flags.Error
	if errors.As(err, &problem) && problem.Type == flags.ErrHelp {
		fmt.Fprintln(out, problem.Message)
		return ExitOK
	}
	fmt.Fprintf(errOut, "%v; run with --help to see the commands and options\n", err)
	return ExitUsage
}

// ExitCode maps an error to a program's exit code.
func ExitCode(err error) int {
	var problem *failure.Error
	if !errors.As(err, &problem) {
		return ExitFailed
	}
	switch problem.Kind() {
	case failure.Invalid, failure.NotFound, failure.Corrupt:
		return ExitUsage
	case failure.Conflict, failure.Stale:
		return ExitConflict
	case failure.Unavailable, failure.Exhausted, failure.Leaving:
		return ExitUnavailable
	case failure.Ambiguous:
		return ExitUnknown
	case failure.Unauthorized:
		return ExitRefused
	case failure.Internal:
		return ExitFailed
	}
	return ExitFailed
}
