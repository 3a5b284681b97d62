package cmd

import (
	"context"
	"encoding/json"
	"os"

	"comfreyrelay.example/bench/internal/burst"
	"comfreyrelay.example/relay/cli"
	"comfreyrelay.example/relay/failure"
)

type burstOptions struct {
	common
	Case     string  `long:"case" description:"name of the case to run; empty runs all cases"`
	Runs     int     `long:"runs" default:"1" description:"number of runs of each case"`
	ModelMiB float64 `long:"model-mib" default:"8" description:"size of the model weights in MiB"`
	List     bool    `long:"list" description:"print the case names and exit"`
}

const burstHelp = `Measures how long it takes until a model serves on N hosts, and how much the origin
sends in that time. Runs real processes over rate-limited links and prints one JSON
line per case.

Examples:
  comfreybench burst --list
  comfreybench burst --case n200-time --runs 3`

func burstCommand() *cli.Command {
	options := &burstOptions{}
	return &cli.Command{
		Name:    "burst",
		Short:   "measure simultaneous downloads of model weights",
		Long:    burstHelp,
		Options: options,
		Run:     func(ctx context.Context, _ []string) error { return runBurst(ctx, options) },
	}
}

func runBurst(ctx context.Context, options *burstOptions) error {
	ctx, stop := untilSignal(ctx)
	defer stop()
	log, closeLog, err := options.processLog("burst.log")
	if err != nil {
		return err
	}
	defer closeLog()
	run := burst.Options{Bin: options.Bin, ProcessLog: log, Log: logger(), Seed: options.Seed, ModelMiB: options.ModelMiB}
	return runCases(ctx, caseRun{name: options.Case, runs: options.Runs, list: options.List}, burst.Cases(),
		func(c burst.Case) string { return c.Name },
		func(ctx context.Context, c burst.Case) (any, error) {
			result, err := burst.Run(ctx, run, c)
			if err != nil {
				result = burst.Named(run, c)
				result.Error = err.Error()
			}
			return result, err
		})
}

// caseRun selects the cases to run and the number of runs.
type caseRun struct {
	name string
	runs int
	list bool
}

// runCases runs the selected cases sequentially and prints one JSON line per run. A
// case that fails does not stop the others.
func runCases[C any](ctx context.Context, want caseRun, cases []C, name func(C) string, run func(context.Context, C) (any, error)) error {
	out := json.NewEncoder(os.Stdout)
	chosen, failed := 0, 0
	for _, c := range cases {
		if want.name != "" && want.name != name(c) {
			continue
		}
		chosen++
		if want.list {
			if err := out.Encode(name(c)); err != nil {
				return err
			}
			continue
		}
		for range want.runs {
			logger().Info("case", "name", name(c))
			line, err := run(ctx, c)
			if err != nil {
				failed++
				logger().Error("case failed", "name", name(c), "error", err)
			}
			if err := out.Encode(line); err != nil {
				return err
			}
			if ctx.Err() != nil {
				return ctx.Err()
			}
		}
	}
	if chosen == 0 {
		return failure.New(failure.Invalid, "unknown case "+want.name, "run with --list to see the case names")
	}
	if failed > 0 {
		return failure.New(failure.Internal, "cases failed", "check the error lines and the log of the processes in the output directory")
	}
	return nil
}
