package cmd

import (
	"context"

	"github.com/jonboulle/clockwork"

	"comfreyrelay.example/relay/cli"
	"comfreyrelay.example/standin/internal/origin"
)

func originCommand() *cli.Command {
	var opts struct {
		Listen   string  `long:"listen" default:"127.0.0.1:0" description:"IP address and port"`
		Bytes    float64 `long:"bytes-per-second" default:"0" description:"rate of the link that all transfers share; 0: unlimited"`
		Requests float64 `long:"requests-per-second" default:"1000" description:"calls a second before 429; 0: unlimited"`
		Seed     uint64  `long:"seed" default:"1" description:"seed of the faults' randomness"`
	}
	return &cli.Command{
		Name:    "origin",
		Short:   "the origin of weights",
		Long:    "Serves the versions that comfreystandin publish makes. POST /faults sets fault knobs, GET /ledger shows what was sent.",
		Options: &opts,
		Run: func(ctx context.Context, _ []string) error {
			service := origin.New(origin.Options{
				BytesPerSecond:    opts.Bytes,
				RequestsPerSecond: opts.Requests,
				Seed:              opts.Seed,
				Clock:             clockwork.NewRealClock(),
			})
			return serve(ctx, opts.Listen, service.Handler())
		},
	}
}
