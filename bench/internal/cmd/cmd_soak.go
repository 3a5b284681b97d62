package cmd

import (
	"context"
	"encoding/json"
	"os"
	"path/filepath"
	"time"

	"comfreyrelay.example/bench/internal/soak"
	"comfreyrelay.example/relay/cli"
	"comfreyrelay.example/relay/failure"
)

type soakOptions struct {
	common
	Seconds float64 `long:"seconds" default:"60" description:"duration of the fault phase, in seconds"`
	Plan    bool    `long:"plan" description:"print the events of the seed and exit"`
}

const soakHelp = `Injects random faults into a deployment under load: hosts, entries, engines, links,
the platform and the document. Checks the invariants against the records of the
callers and the back ends. Prints one JSON line; the exit code is 1 if an
invariant broke. The same seed gives the same events.

Examples:
  comfreybench soak --seed 7 --seconds 60
  comfreybench soak --seed 7 --plan`

func soakCommand() *cli.Command {
	options := &soakOptions{}
	return &cli.Command{
		Name:    "soak",
		Short:   "inject random faults under load",
		Long:    soakHelp,
		Options: options,
		Run:     func(ctx context.Context, _ []string) error { return runSoak(ctx, options) },
	}
}

func runSoak(ctx context.Context, options *soakOptions) error {
	ctx, stop := untilSignal(ctx)
	defer stop()
	length := time.Duration(options.Seconds * float64(time.Second))
	if options.Plan {
		return printPlan(options.Seed, length)
	}
	log, closeLog, err := options.processLog("soak.log")
	if err != nil {
		return err
	}
	defer closeLog()
	result, err := soak.Run(ctx, soak.Options{
		Bin:        options.Bin,
		ProcessLog: log,
		Log:        logger(),
		Progress:   log,
		Seed:       options.Seed,
		Length:     length,
	})
	if err != nil {
		result.Error = err.Error()
	}
	if problem := json.NewEncoder(os.Stdout).Encode(result); problem != nil {
		return problem
	}
	if err != nil || result.Violations > 0 {
		return failure.New(failure.Internal, "the run violated an invariant or did not finish",
			"check the JSON line and "+filepath.Join(options.Out, "soak.log"))
	}
	return nil
}

func printPlan(seed uint64, length time.Duration) error {
	out := json.NewEncoder(os.Stdout)
	for _, event := range soak.DefaultPlan(seed, length) {
		if err := out.Encode(event.String()); err != nil {
			return err
		}
	}
	return nil
}
