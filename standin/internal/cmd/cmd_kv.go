package cmd

import (
	"context"

	"github.com/jonboulle/clockwork"

	"comfreyrelay.example/relay/cli"
	"comfreyrelay.example/standin/internal/kvservice"
)

func kvCommand() *cli.Command {
	var opts struct {
		Listen string  `long:"listen" default:"127.0.0.1:0" description:"IP address and port"`
		Reads  float64 `long:"reads" default:"2000" description:"reads per second before it answers 429"`
		Writes float64 `long:"writes" default:"300" description:"writes per second before it answers 429"`
		Seed   uint64  `long:"seed" default:"1" description:"seed of the random faults"`
	}
	return &cli.Command{
		Name:    "kv",
		Short:   "stand in for the platform's key-value service",
		Long:    "Stores keys in memory. POST /faults sets fault knobs, GET /ledger shows which client made which calls.",
		Options: &opts,
		Run: func(ctx context.Context, _ []string) error {
			service := kvservice.New(kvservice.Options{
				ReadsPerSecond:  opts.Reads,
				WritesPerSecond: opts.Writes,
				Seed:            opts.Seed,
				Clock:           clockwork.NewRealClock(),
			})
			return serve(ctx, opts.Listen, service.Handler())
		},
	}
}
