package cmd

import (
	"context"
	"encoding/json"
	"log/slog"
	"os"
	"os/signal"
	"path/filepath"
	"syscall"

	"comfreyrelay.example/bench/internal/demo"
	"comfreyrelay.example/relay/cli"
	"comfreyrelay.example/relay/failure"
	"comfreyrelay.example/relay/logging"
)

type demoOptions struct {
	common
	Hosts     int     `long:"hosts" default:"12" description:"number of hosts, each running an engine and its agent"`
	Objective string  `long:"objective" default:"time" choice:"time" choice:"originBytes" description:"what rollouts optimise for"`
	ModelMiB  float64 `long:"model-mib" default:"8" description:"size of the model weights in MiB"`
}

const demoHelp = `Starts a complete deployment over loopback, rolls out a model, sends requests, rolls out
a second version while they run, shuts down one entry and one host, and stops every
process that it started. Progress goes to standard error; the last line on standard
output is one JSON object. The exit code is 1 if an invariant broke.

Example:
  comfreybench demo --hosts 12 --objective originBytes --model-mib 16`

func demoCommand() *cli.Command {
	options := &demoOptions{}
	return &cli.Command{
		Name:    "demo",
		Short:   "run a complete deployment and check it",
		Long:    demoHelp,
		Options: options,
		Run:     func(ctx context.Context, _ []string) error { return runDemo(ctx, options) },
	}
}

func runDemo(ctx context.Context, options *demoOptions) error {
	ctx, stop := untilSignal(ctx)
	defer stop()
	log, closeLog, err := options.processLog("demo.log")
	if err != nil {
		return err
	}
	defer closeLog()
	result, err := demo.Run(ctx, demo.Options{
		Bin:        options.Bin,
		Hosts:      options.Hosts,
		Objective:  options.Objective,
		ModelMiB:   options.ModelMiB,
		Log:        logger(),
		Progress:   os.Stderr,
		ProcessLog: log,
		Seed:       options.Seed,
	})
	if err != nil {
		return failure.Wrap(err, failure.Internal, "the demo did not finish",
			"read "+filepath.Join(options.Out, "demo.log"))
	}
	if err := json.NewEncoder(os.Stdout).Encode(result); err != nil {
		return err
	}
	if result.Broken() {
		return failure.New(failure.Internal, "an invariant broke", "read "+filepath.Join(options.Out, "demo.log"))
	}
	return nil
}

// common are the options of every subcommand.
type common struct {
	Bin  string `long:"bin" default:"bin" description:"directory with the built programs"`
	Out  string `long:"out" default:"out" description:"directory for the logs of the processes"`
	Seed uint64 `long:"seed" default:"1" description:"random seed for load, content and faults"`
}

// processLog creates the file to which all processes log.
func (c *common) processLog(name string) (*os.File, func(), error) {
	const dirMode = 0o755
	if err := os.MkdirAll(c.Out, dirMode); err != nil {
		return nil, nil, failure.Wrap(err, failure.Invalid, "cannot create the log directory", "choose another directory with --out")
	}
	file, err := os.Create(filepath.Join(c.Out, name))
	if err != nil {
		return nil, nil, failure.Wrap(err, failure.Invalid, "cannot write the log of the processes", "choose another directory with --out")
	}
	return file, func() { _ = file.Close() }, nil
}

func logger() *slog.Logger { return logging.New(os.Stderr, "info", program, "bench") }

// untilSignal returns a context that is cancelled by SIGINT or SIGTERM.
func untilSignal(ctx context.Context) (context.Context, context.CancelFunc) {
	return signal.NotifyContext(ctx, syscall.SIGINT, syscall.SIGTERM)
}
