// Package cmd is the command line and the wiring of comfreyentry.
package cmd

import (
	"errors"
	"fmt"
	"io"

	"github.com/jessevdk/go-flags"

	"comfreyrelay.example/relay/cli"
	"comfreyrelay.example/relay/node"
	"comfreyrelay.example/relay/settings"
)

const program = "comfreyentry"

type options struct {
	Settings      string   `long:"settings" value-name:"FILE" description:"JSON file with the settings of this process"`
	CheckSettings bool     `long:"check-settings" description:"check the settings and exit"`
	Set           []string `long:"set" value-name:"key.path=value" description:"override one setting; may be given again"`
	Version       bool     `long:"version" description:"print the version and exit"`
}

// Main parses the arguments, runs the entry until it is told to stop, and
// returns the exit code.
func Main(version string, args []string, out, errOut io.Writer) int {
	opts := &options{}
	parser := flags.NewNamedParser(program, flags.HelpFlag|flags.PassDoubleDash)
	if _, err := parser.AddGroup("Options", "", opts); err != nil {
		panic(err)
	}
	parser.LongDescription = "Serves callers and operators. SIGTERM lets requests in progress finish; " +
		"a second SIGTERM stops at once."
	if _, err := parser.ParseArgs(args); err != nil {
		return reportUsage(err, out, errOut)
	}
	if opts.Version {
		fmt.Fprintln(out, program, version)
		return cli.ExitOK
	}
	if err := start(opts, out, errOut); err != nil {
		fmt.Fprintf(errOut, "%s: %v\n", program, err)
		return cli.ExitCode(err)
	}
	return cli.ExitOK
}

func reportUsage(err error, out, errOut io.Writer) int {
	var problem *flags.Error
	if errors.As(err, &problem) && problem.Type == flags.ErrHelp {
		fmt.Fprintln(out, problem.Message)
		return cli.ExitOK
	}
	fmt.Fprintf(errOut, "%s: %v; run with --help to see the options\n", program, err)
	return cli.ExitUsage
}

func start(opts *options, out, errOut io.Writer) error {
	set, err := settings.LoadEntryWith(opts.Settings, opts.Set)
	if err != nil {
		return err
	}
	if opts.CheckSettings {
		fmt.Fprintln(out, "settings are valid")
		return nil
	}
	drain, kill := node.Signals()
	return Run(drain, kill, set, out, errOut)
}
