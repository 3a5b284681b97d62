package cmd

import (
	"context"

	"comfreyrelay.example/bench/internal/requests"
	"comfreyrelay.example/relay/cli"
)

type requestsOptions struct {
	common
	Case string `long:"case" description:"name of the case to run; empty runs all cases"`
	Runs int    `long:"runs" default:"1" description:"number of runs of each case"`
	List bool   `long:"list" description:"print the case names and exit"`
}

const requestsHelp = `Measures requests under load, faults and shutdowns. Runs real processes with
open-loop arrivals and prints one JSON line per case. The callers judge the outcomes,
the back ends count the runs. The exit code is 1 if an invariant broke.

Examples:
  comfreybench requests --list
  comfreybench requests --case load-2`

func requestsCommand() *cli.Command {
	options := &requestsOptions{}
	return &cli.Command{
		Name:    "requests",
		Short:   "measure requests under load and faults",
		Long:    requestsHelp,
		Options: options,
		Run:     func(ctx context.Context, _ []string) error { return runRequests(ctx, options) },
	}
}

func runRequests(ctx context.Context, options *requestsOptions) error {
	ctx, stop := untilSignal(ctx)
	defer stop()
	log, closeLog, err := options.processLog("requests.log")
	if err != nil {
		return err
	}
	defer closeLog()
	run := requests.Options{Bin: options.Bin, ProcessLog: log, Log: logger(), Seed: options.Seed}
	return runCases(ctx, caseRun{name: options.Case, runs: options.Runs, list: options.List}, requests.Cases(),
		func(c requests.Case) string { return c.Name },
		func(ctx context.Context, c requests.Case) (any, error) {
			result, err := requests.Run(ctx, run, c)
			if err != nil {
				if result.Case == "" {
					result = requests.Named(c)
				}
				result.Error = err.Error()
			}
			return result, err
		})
}
