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
		Bytes    float64 `long:"bytes-per-second" default:"0" description:"bandwidth shared by all transfers; 0: unlimited"`
		Requests float64 `long:"requests-per-second" default:"1000" description:"requests per second before it answers 429; 0: unlimited"`
		Seed     uint64  `long:"seed" default:"1" description:"seed of the random faults"`
	}
	return &cli.Command{
		Name:    "origin",
		Short:   "stand in for the origin of weights",
		Long:    "Serves the versions created by comfreystandin publish. POST /faults sets fault knobs, GET /ledger shows what was sent.",
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
