package cmd

import (
	"context"

	"comfreyrelay.example/bench/internal/requests"
	"comfreyrelay.example/relay/cli"
)

type requestsOptions struct {
	common
	Case string `long:"case" description:"one case's name; empty runs all"`
	Runs int    `long:"runs" default:"1" description:"runs of each case"`
	List bool   `long:"list" description:"print the cases' names and run none"`
}

const requestsHelp = `Measures requests under load, faults and shutdowns: real processes, open arrivals,
one JSON line a case. Outcomes are judged by the callers, runs are counted by
the back ends. The exit code is 1 where an invariant broke.

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
