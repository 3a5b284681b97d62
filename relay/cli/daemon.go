package cli

import (
	"context"
	"errors"
	"fmt"
	"io"

	"github.com/jessevdk/go-flags"

	"comfreyrelay.example/relay/node"
)

// Daemon is a program without subcommands that runs until it is asked to stop. T
// is the type of its settings.
type Daemon[T any] struct {
	Name string
	// About is the program's description in --help.
	About string
	// Load reads the settings file, applies the overrides and validates the
	// result.
	Load func(file string, overrides []string) (T, error)
	// DefaultFile is the settings file if --settings is not given; if empty,
	// --settings is required.
	DefaultFile string
	// Run serves until drain is cancelled, then finishes running work. It stops
	// immediately when kill is cancelled.
	Run func(drain, kill context.Context, set T, out, errOut io.Writer) error
}

// daemonOptions are the options of every daemon.
type daemonOptions struct {
	Settings      string   `long:"settings" value-name:"FILE" description:"JSON file with the settings of this process"`
	CheckSettings bool     `long:"check-settings" description:"check the settings and exit"`
	Set           []string `long:"set" value-name:"key.path=value" description:"override one setting; may be given again"`
	Version       bool     `long:"version" description:"print the version and exit"`
}

// Main parses the arguments, runs the daemon until it is asked to stop, and
// returns the exit code.
func (d Daemon[T]) Main(version string, args []string, out, errOut io.Writer) int {
	opts := &daemonOptions{}
	parser := flags.NewNamedParser(d.Name, flags.HelpFlag|flags.PassDoubleDash)
	if _, err := parser.AddGroup("Options", "", opts); err != nil {
		panic(err)
	}
	parser.LongDescription = d.About
	if _, err := parser.ParseArgs(args); err != nil {
		return d.reportUsage(err, out, errOut)
	}
	if opts.Version {
		fmt.Fprintln(out, d.Name, version)
		return ExitOK
	}
	if err := d.start(opts, out, errOut); err != nil {
		fmt.Fprintf(errOut, "%s: %v\n", d.Name, err)
		return ExitCode(err)
	}
	return ExitOK
}

func (d Daemon[T]) reportUsage(err error, out, errOut io.Writer) int {
	var problem *flags.Error
	if errors.As(err, &problem) && problem.Type == flags.ErrHelp {
		fmt.Fprintln(out, problem.Message)
		return ExitOK
	}
	fmt.Fprintf(errOut, "%s: %v; run with --help to see the options\n", d.Name, err)
	return ExitUsage
}

func (d Daemon[T]) start(opts *daemonOptions, out, errOut io.Writer) error {
	file := opts.Settings
	if file == "" {
		file = d.DefaultFile
	}
	set, err := d.Load(file, opts.Set)
	if err != nil {
		return err
	}
	if opts.CheckSettings {
		fmt.Fprintln(out, "settings are valid")
		return nil
	}
	drain, kill := node.Signals()
	return d.Run(drain, kill, set, out, errOut)
}
