package cmd

import (
	"context"
	"encoding/json"
	"os"
	"time"

	"github.com/jonboulle/clockwork"

	"comfreyrelay.example/relay/cli"
	"comfreyrelay.example/relay/failure"
	"comfreyrelay.example/standin/internal/hostlist"
)

func hostsCommand() *cli.Command {
	var opts struct {
		Listen string        `long:"listen" default:"127.0.0.1:0" description:"IP address and port"`
		File   string        `long:"file" description:"JSON file with the initial hosts"`
		Lag    time.Duration `long:"lag" default:"0s" description:"delay until a change becomes visible"`
	}
	return &cli.Command{
		Name:  "hosts",
		Short: "stand in for the platform's host list, which lags",
		Long: "Answers GET /hosts. POST /hosts replaces the list, PUT and DELETE /hosts/{id} change one host. " +
			"POST /faults sets fault knobs.",
		Options: &opts,
		Run: func(ctx context.Context, _ []string) error {
			hosts, err := readHosts(opts.File)
			if err != nil {
				return err
			}
			service := hostlist.New(clockwork.NewRealClock(), hosts, opts.Lag)
			return serve(ctx, opts.Listen, service.Handler())
		},
	}
}

func readHosts(name string) ([]hostlist.Host, error) {
	if name == "" {
		return nil, nil
	}
	text, err := os.ReadFile(name)
	if err != nil {
		return nil, failure.Wrap(err, failure.Invalid, "cannot read the hosts", "name an existing file with --file")
	}
	var list hostlist.List
	if err := json.Unmarshal(text, &list); err != nil {
		return nil, failure.Wrap(err, failure.Invalid, name+" is not a list of hosts",
			`write {"hosts":[{"id":"...","role":"agent"}]}`)
	}
	return list.Hosts, nil
}
