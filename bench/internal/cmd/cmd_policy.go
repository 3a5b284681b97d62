package cmd

import (
	"context"
	"encoding/json"
	"fmt"
	"maps"
	"os"
	"slices"
	"strconv"
	"strings"
	"time"

	"golang.org/x/sync/errgroup"

	"comfreyrelay.example/bench/internal/policy"
	"comfreyrelay.example/relay/cli"
	"comfreyrelay.example/relay/deal"
	"comfreyrelay.example/relay/failure"
)

type policyOptions struct {
	Load    string        `long:"load" value-name:"FILE" description:"load description as JSON; empty uses the built-in one"`
	Entries int           `long:"entries" description:"number of entries; 0 uses the load's value"`
	Engines int           `long:"engines" description:"number of engines; 0 uses the load's value. The offered load scales with it"`
	Regions int           `long:"regions" description:"number of regions; 0 uses the load's value"`
	Rates   []float64     `long:"rate" default:"1" description:"factor applied to the offered load; can be repeated"`
	Seeds   string        `long:"seeds" default:"1" value-name:"A..B" description:"a seed, or the first and the last of a range"`
	Without []string      `long:"without" value-name:"MECHANISM" description:"mechanism to disable; can be repeated"`
	Near    int           `long:"near" description:"number of engines in its failure domain that an entry sends to if there are many; 0 uses the default"`
	Senders int           `long:"senders" description:"minimum number of entries in its failure domain that send to an engine; 0 uses the default"`
	Far     int           `long:"far" description:"maximum number of engines in other failure domains that an entry sends to; 0 uses the default, a negative value means none"`
	HomeGap time.Duration `long:"home-gap" description:"minimum interval between state reports of an engine to its home entry; 0 uses the default"`
	NearGap time.Duration `long:"near-gap" description:"minimum interval between state reports to other entries in its failure domain; 0 uses the default"`
	FarGap  time.Duration `long:"far-gap" description:"minimum interval between state reports to entries in other failure domains; 0 uses the default"`
	Looks   time.Duration `long:"look" description:"interval at which an agent polls its engine while requests run"`
	Jobs    int           `long:"jobs" default:"4" description:"number of simulations to run in parallel"`
	Plot    string        `long:"plot" value-name:"FILE.svg" description:"write a plot of answers within target against offered load"`
}

const policyHelp = `Simulates the decisions of entries in virtual time: runs the product's own decision
cores over modelled arrivals, links and engines. Prints one JSON line per simulation:
the outcomes of the requests, the worst parts, and what entries and agents sent to
one another.

The results are only as accurate as the model: docs/design/scale.md has its error
against played days.

Examples:
  comfreybench policy --rate 0.8 --rate 1 --rate 1.2 --seeds 1..3 --plot curve.svg
  comfreybench policy --entries 98 --engines 138 --regions 5 --near 28
  comfreybench policy --without homes --seeds 1..5`

func policyCommand() *cli.Command {
	options := &policyOptions{}
	return &cli.Command{
		Name:    "policy",
		Short:   "simulate decisions in virtual time",
		Long:    policyHelp + "\n\nMechanisms:" + mechanisms(),
		Options: options,
		Run:     func(ctx context.Context, _ []string) error { return runPolicy(ctx, options) },
	}
}

func mechanisms() string {
	var lines strings.Builder
	for _, name := range slices.Sorted(maps.Keys(policy.Mechanisms)) {
		fmt.Fprintf(&lines, "\n  %-8s without it %s", name, policy.Mechanisms[name])
	}
	return lines.String()
}

func runPolicy(ctx context.Context, options *policyOptions) error {
	load, err := options.load()
	if err != nil {
		return err
	}
	plays, err := options.plays()
	if err != nil {
		return err
	}
	results := make([]policy.Result, len(plays))
	group, ctx := errgroup.WithContext(ctx)
	group.SetLimit(max(1, options.Jobs))
	for i, play := range plays {
		group.Go(func() error {
			if ctx.Err() == nil {
				results[i] = policy.Simulate(load, play)
			}
			return ctx.Err()
		})
	}
	if err := group.Wait(); err != nil {
		return err
	}
	out := json.NewEncoder(os.Stdout)
	for _, result := range results {
		if err := out.Encode(result); err != nil {
			return err
		}
	}
	if options.Plot == "" {
		return nil
	}
	return policy.Plot(results, options.Plot)
}

// load reads the load and scales it to the size given by the flags.
func (o *policyOptions) load() (*policy.Load, error) {
	load, err := policy.DefaultLoad(), error(nil)
	if o.Load != "" {
		load, err = policy.Read(o.Load)
	}
	if err != nil {
		return nil, err
	}
	return load.Sized(o.Entries, o.Engines, o.Regions)
}

// plays returns the options of one simulation for each rate and seed.
func (o *policyOptions) plays() ([]policy.Options, error) {
	first, last, err := seedRange(o.Seeds)
	if err != nil {
		return nil, err
	}
	without := map[string]bool{}
	for _, name := range o.Without {
		if policy.Mechanisms[name] == "" {
			return nil, failure.New(failure.Invalid, "unknown mechanism "+strconv.Quote(name), "give one of: "+
				strings.Join(slices.Sorted(maps.Keys(policy.Mechanisms)), ", "))
		}
		without[name] = true
	}
	var plays []policy.Options
	for _, rate := range o.Rates {
		if rate <= 0 || rate > maxRate {
			return nil, failure.New(failure.Invalid, fmt.Sprintf("--rate %v is out of range", rate), fmt.Sprintf("give a number above 0 and at most %v", maxRate))
		}
		for seed := first; seed <= last; seed++ {
			plays = append(plays, policy.Options{Seed: seed, Rate: rate, Shares: o.shares(), Gaps: o.gaps(), PollInterval: o.Looks, Without: without})
		}
	}
	return plays, nil
}

const (
	// maxRate bounds the load multiplier, far beyond what any engine serves.
	maxRate = 20.0
	// maxSeeds bounds the simulations per rate.
	maxSeeds = 1000
)

func (o *policyOptions) shares() deal.Shares {
	shares := deal.DefaultShares
	shares.Near = orUsual(o.Near, shares.Near)
	shares.Senders = orUsual(o.Senders, shares.Senders)
	shares.Far = max(0, orUsual(o.Far, shares.Far))
	return shares
}

func (o *policyOptions) gaps() policy.Gaps {
	return policy.Gaps{
		Home: orUsual(o.HomeGap, policy.DefaultGaps.Home),
		Near: orUsual(o.NearGap, policy.DefaultGaps.Near),
		Far:  orUsual(o.FarGap, policy.DefaultGaps.Far),
	}
}

func orUsual[T int | time.Duration](value, usual T) T {
	if value == 0 {
		return usual
	}
	return value
}

// seedRange parses "A" or "A..B".
func seedRange(text string) (first, last uint64, err error) {
	low, high, several := strings.Cut(text, "..")
	if !several {
		high = low
	}
	first, errFirst := strconv.ParseUint(low, 10, 64)
	last, errLast := strconv.ParseUint(high, 10, 64)
	if errFirst != nil || errLast != nil || last < first || last-first >= maxSeeds {
		return 0, 0, failure.New(failure.Invalid, "--seeds "+strconv.Quote(text)+" is not a valid range", fmt.Sprintf("give a number or a range such as 1..5 with at most %d seeds", maxSeeds))
	}
	return first, last, nil
}
