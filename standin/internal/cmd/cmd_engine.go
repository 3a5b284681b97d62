package cmd

import (
	"context"
	"net"
	"strconv"
	"time"

	"github.com/jonboulle/clockwork"

	"comfreyrelay.example/relay/cli"
	"comfreyrelay.example/relay/failure"
	"comfreyrelay.example/standin/internal/engine"
)

type engineOptions struct {
	Listen           string        `long:"listen" default:"127.0.0.1:0" description:"IP address and port of the first engine"`
	Port             int           `long:"port" description:"port of the first engine, in place of that in --listen"`
	Count            int           `long:"count" default:"1" description:"engines in this process, on consecutive ports"`
	Slots            int           `long:"slots" default:"16" description:"requests that run at once"`
	Queue            int           `long:"queue" default:"64" description:"requests that wait for a slot"`
	TokenMillis      float64       `long:"token-millis" default:"20" description:"interval between tokens of a request that runs alone; about twice as long with all slots in use"`
	FirstTokenMillis float64       `long:"first-token-millis" default:"60" description:"time to the first token of a short prompt with a cold prefix; a quarter with a cached one"`
	LoadMillis       float64       `long:"load-millis" default:"200" description:"time to load a version whose chunks are stored"`
	ChecksFencing    bool          `long:"checks-fencing" description:"refuse orders with an old fence"`
	StatusLag        time.Duration `long:"status-lag" default:"2s" description:"age of the load figures in a status and of cache events"`
	CachePrefixes    int           `long:"cache-prefixes" default:"64" description:"prompt prefixes cached"`
	EventLoss        float64       `long:"event-loss" default:"0.05" description:"fraction of cache events that are never published"`
	StoreMiB         int64         `long:"store-mib" default:"256" description:"chunk storage of each engine, in MiB; equal chunks are stored once per process"`
	Seed             uint64        `long:"seed" default:"1" description:"seed of the random event losses"`
}

const engineHelp = `Stands in for model engines that batch continuously, cache prompt prefixes, obey
orders and store chunks of weights. Each engine prints the address it listens on.

The load figures of /status lag; the model, version and adapters loaded do not.
GET /ledger is the engine's own record (?summary=1 leaves out the counts by
request id), and POST /faults sets all fault knobs at once:
  {"slowFactor":10,"failFast":true,"errorAfterBegin":true,"stall":true,
   "refuseLoad":true,"dropLoad":true,"dieAfterTokens":5,"reportIdle":true,"dead":true}

With S slots full, one engine answers about
  S * 1000 / (first-token-millis + tokens * token-millis * (2 - 1/S))
requests a second of that many tokens.

Examples:
  comfreystandin engine --listen 127.0.0.1:7100 --count 14 --checks-fencing
  comfreystandin engine --slots 4 --token-millis 2 --first-token-millis 5`

func engineCommand() *cli.Command {
	options := &engineOptions{}
	return &cli.Command{
		Name:    "engine",
		Short:   "stand in for model engines",
		Long:    engineHelp,
		Options: options,
		Run:     func(ctx context.Context, _ []string) error { return runEngines(ctx, options) },
	}
}

func runEngines(ctx context.Context, options *engineOptions) error {
	if options.Slots < 1 || options.Queue < 0 || options.TokenMillis <= 0 {
		return failure.New(failure.Invalid, "slots, queue or token time is out of bounds", "use --slots of 1 or more and a positive --token-millis")
	}
	first, err := withPort(options.Listen, options.Port)
	if err != nil {
		return err
	}
	all, err := addresses(first, options.Count)
	if err != nil {
		return err
	}
	chunks := engine.NewPool()
	endpoints := make([]endpoint, len(all))
	for i, address := range all {
		one := engine.New(options.engine(chunks, uint64(i)))
		endpoints[i] = endpoint{address: address, handler: one.Handler()}
	}
	return serveEndpoints(ctx, endpoints)
}

// engine converts the flags to the options of engine i.
func (o *engineOptions) engine(chunks *engine.Pool, i uint64) engine.Options {
	return engine.Options{
		Slots:          o.Slots,
		MaxQueue:       o.Queue,
		TokenTime:      millis(o.TokenMillis),
		FirstTokenTime: millis(o.FirstTokenMillis),
		LoadTime:       millis(o.LoadMillis),
		ChecksFencing:  o.ChecksFencing,
		StatusLag:      o.StatusLag,
		CachePrefixes:  o.CachePrefixes,
		EventLoss:      o.EventLoss,
		StoreBytes:     o.StoreMiB << 20,
		Seed:           o.Seed + i,
		Clock:          clockwork.NewRealClock(),
		Chunks:         chunks,
	}
}

func millis(count float64) time.Duration {
	return time.Duration(count * float64(time.Millisecond))
}

// withPort replaces the port of an address, unless port is 0.
func withPort(address string, port int) (string, error) {
	if port == 0 {
		return address, nil
	}
	host, _, err := net.SplitHostPort(address)
	if err != nil {
		return "", failure.Wrap(err, failure.Invalid, "the address is not an IP address with a port", "write --listen 127.0.0.1:7100")
	}
	return net.JoinHostPort(host, strconv.Itoa(port)), nil
}
