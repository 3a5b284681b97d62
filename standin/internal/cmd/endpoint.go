package cmd

import (
	"context"
	"fmt"
	"net/http"
	"net/netip"

	"golang.org/x/sync/errgroup"

	"comfreyrelay.example/relay/cli"
	"comfreyrelay.example/relay/failure"
)

// endpointCommands returns the commands that simulate endpoints and the load
// generator.
func endpointCommands() []*cli.Command {
	return []*cli.Command{engineCommand(), serviceCommand(), loadCommand()}
}

// endpoint is a simulated endpoint and the address it listens on.
type endpoint struct {
	address string
	handler http.Handler
}

// serveEndpoints serves all endpoints until ctx is done or one of them fails.
func serveEndpoints(ctx context.Context, endpoints []endpoint) error {
	group, ctx := errgroup.WithContext(ctx)
	for _, one := range endpoints {
		group.Go(func() error { return serve(ctx, one.address, one.handler) })
	}
	return group.Wait()
}

// addresses returns count addresses on consecutive ports starting with first. With
// port 0, every address has port 0, so that each listener gets a free port.
func addresses(first string, count int) ([]string, error) {
	start, err := netip.ParseAddrPort(first)
	if err != nil {
		return nil, failure.Wrap(err, failure.Invalid, "the address is not an IP address with a port", "write --listen 127.0.0.1:7100")
	}
	if count < 1 || int(start.Port())+count > 1<<16 {
		return nil, failure.New(failure.Invalid, fmt.Sprintf("%d consecutive ports from port %d are out of range", count, start.Port()), "choose another --count or --listen")
	}
	all := make([]string, count)
	for i := range all {
		port := start.Port()
		if port != 0 {
			port += uint16(i)
		}
		all[i] = netip.AddrPortFrom(start.Addr(), port).String()
	}
	return all, nil
}
