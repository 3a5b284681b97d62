package cmd

import (
	"context"
	"encoding/json"
	"os"
	"path/filepath"
	"time"

	"comfreyrelay.example/bench/internal/sitesoak"
	"comfreyrelay.example/relay/cli"
	"comfreyrelay.example/relay/failure"
)

type soakPlatformOptions struct {
	common
	Seconds float64  `long:"seconds" default:"60" description:"duration of the event phase, in seconds"`
	Entries int      `long:"entries" default:"9" description:"entries"`
	Engines int      `long:"engines" default:"14" description:"number of engines, each with its agent"`
	Load    float64  `long:"load" default:"0.8" description:"request load as a fraction of the engines' capacity"`
	Gap     float64  `long:"gap" default:"0.8" description:"mean time between two events, in seconds"`
	Events  string   `long:"events" default:"all" choice:"all" choice:"none" choice:"planned" choice:"hiccups" choice:"failures" choice:"silences" choice:"answers" choice:"misleading" choice:"apps" choice:"freezes" choice:"hostFreezes" choice:"largeChanges" choice:"stops" choice:"copies" choice:"anything" description:"which events to inject: all, none, planned operations, planned operations and hiccups, failures that strain the retry budget, connections to the store that go silent beside planned operations, answers of endpoints that belong to no request beside planned operations, answers of plain endpoints that mislead about what ran beside planned operations, these and faults of plain endpoints and their links beside answers that belong to no request, agents that stand still right after a staged chunk was corrupted, beside new versions, or their hosts, changes of a large configuration that all entries read over one link, planned stops of entries while callers send their bodies slowly, plain endpoints that repeat answers late and are also registered under former IDs, random answers of plain endpoints beside faults of them and of entries"`
	Kinds   []string `long:"kind" description:"draw only events of this kind, of any set; may be repeated"`
}

const soakPlatformHelp = `Injects planned operations, hiccups and faults into a deployment behind a platform: plain
processes on loopback, with stand-ins for the platform. Checks the platform's rules against
the records of callers and endpoints. Prints one JSON line; the exit code is 1 if a rule
was violated. The same seed gives the same events.

Examples:
  comfreybench soak-platform --seed 7 --seconds 60
  comfreybench soak-platform --seed 7 --events planned --load 1.1`

func soakPlatformCommand() *cli.Command {
	options := &soakPlatformOptions{}
	return &cli.Command{
		Name:    "soak-platform",
		Short:   "inject random faults under load, behind a platform",
		Long:    soakPlatformHelp,
		Options: options,
		Run:     func(ctx context.Context, _ []string) error { return runSoakPlatform(ctx, options) },
	}
}

func runSoakPlatform(ctx context.Context, options *soakPlatformOptions) error {
	ctx, stop := untilSignal(ctx)
	defer stop()
	log, closeLog, err := options.processLog("soak-platform.log")
	if err != nil {
		return err
	}
	defer closeLog()
	result, err := sitesoak.Run(ctx, sitesoak.Options{
		Bin: options.Bin, Log: log, Progress: logger(), Seed: options.Seed,
		Length: time.Duration(options.Seconds * float64(time.Second)), Gap: time.Duration(options.Gap * float64(time.Second)),
		Entries: options.Entries, Engines: options.Engines, Load: options.Load,
		Planned: options.Events == "all" || options.Events == "planned" || options.Events == "hiccups" || options.Events == "silences" || options.Events == "answers" ||
			options.Events == "misleading" || options.Events == "apps",
		Hiccups: options.Events == "all" || options.Events == "hiccups", Faults: options.Events == "all", Failures: options.Events == "failures",
		Silences: options.Events == "silences", Answers: options.Events == "answers" || options.Events == "apps",
		Misleading: options.Events == "misleading" || options.Events == "apps", AppFaults: options.Events == "apps",
		AgentFreezes: options.Events == "freezes", HostFreezes: options.Events == "hostFreezes", LargeChanges: options.Events == "largeChanges",
		Stops: options.Events == "stops", Copies: options.Events == "copies", Anything: options.Events == "anything", Kinds: options.Kinds,
	})
	if err != nil {
		result.Error = err.Error()
	}
	if problem := json.NewEncoder(os.Stdout).Encode(result); problem != nil {
		return problem
	}
	if err != nil || len(result.Broken) > 0 {
		return failure.New(failure.Internal, "the run violated a rule or did not finish",
			"check the JSON line and "+filepath.Join(options.Out, "soak-platform.log"))
	}
	return nil
}
