package cmd

import (
	"context"

	"github.com/jonboulle/clockwork"

	"comfreyrelay.example/relay/cli"
	"comfreyrelay.example/relay/failure"
	"comfreyrelay.example/standin/internal/service"
)

type serviceOptions struct {
	Listen string  `long:"listen" default:"127.0.0.1:0" description:"IP address and port"`
	Kind   string  `long:"kind" default:"service" choice:"service" choice:"bridge" description:"service to stand in for"`
	Millis float64 `long:"millis" default:"20" description:"duration of one call, in milliseconds"`
	Slots  int     `long:"slots" default:"8" description:"number of concurrent calls"`
	Seed   uint64  `long:"seed" default:"1" description:"seed of the random faults"`
}

const serviceHelp = `Stands in for a plain service or the mainframe bridge. POST /call answers the
hexadecimal BLAKE3 of "service", a newline and the body, and records the run.

GET /ledger is its own record (?summary=1 leaves out the counts by request id),
and POST /faults sets all fault knobs at once:
  {"failBeforeRun":0.1,"loseReply":0.1,"stall":true,"slowFactor":10,"dead":true}

Example:
  comfreystandin service --kind bridge --listen 127.0.0.1:7200 --millis 50 --slots 2`

func serviceCommand() *cli.Command {
	options := &serviceOptions{}
	return &cli.Command{
		Name:    "service",
		Short:   "stand in for a plain service or the mainframe bridge",
		Long:    serviceHelp,
		Options: options,
		Run:     func(ctx context.Context, _ []string) error { return runService(ctx, options) },
	}
}

func runService(ctx context.Context, options *serviceOptions) error {
	if options.Slots < 1 || options.Millis < 0 {
		return failure.New(failure.Invalid, "slots or call time is out of bounds", "use --slots of 1 or more and --millis of 0 or more")
	}
	all, err := addresses(options.Listen, 1)
	if err != nil {
		return err
	}
	one := service.New(service.Options{
		CallTime: millis(options.Millis),
		Slots:    options.Slots,
		Seed:     options.Seed,
		Clock:    clockwork.NewRealClock(),
	})
	return serveEndpoints(ctx, []endpoint{{address: all[0], handler: one.Handler()}})
}
