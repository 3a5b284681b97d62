package cmd

import (
	"context"

	"comfreyrelay.example/bench/internal/control"
	"comfreyrelay.example/relay/cli"
)

type controlOptions struct {
	common
	Case string `long:"case" description:"name of the case to run; empty runs all cases"`
	Runs int    `long:"runs" default:"1" description:"number of runs of each case"`
	List bool   `long:"list" description:"print the case names and exit"`
}

const controlHelp = `Measures how documents take effect on every node, what that costs each node and the
key-value service, and the effect of an outage or a restart of all nodes. Runs real
processes and prints one JSON line per case. The exit code is 1 if a revision decreased.

Examples:
  comfreybench control --list
  comfreybench control --case agents-200`

func controlCommand() *cli.Command {
	options := &controlOptions{}
	return &cli.Command{
		Name:    "control",
		Short:   "measure documents, leases and rates",
		Long:    controlHelp,
		Options: options,
		Run:     func(ctx context.Context, _ []string) error { return runControl(ctx, options) },
	}
}

func runControl(ctx context.Context, options *controlOptions) error {
	ctx, stop := untilSignal(ctx)
	defer stop()
	log, closeLog, err := options.processLog("control.log")
	if err != nil {
		return err
	}
	defer closeLog()
	run := control.Options{Bin: options.Bin, ProcessLog: log, Log: logger(), Seed: options.Seed}
	return runCases(ctx, caseRun{name: options.Case, runs: options.Runs, list: options.List}, control.Cases(),
		func(c control.Case) string { return c.Name },
		func(ctx context.Context, c control.Case) (any, error) {
			result, err := control.Run(ctx, run, c)
			if err != nil {
				result.Error = err.Error()
			}
			return result, err
		})
}
