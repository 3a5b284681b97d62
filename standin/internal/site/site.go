// Package site simulates the platform that comfreyrelay runs on, with one process per part:
// the metadata store, an endpoint, the origin of weights or the network between processes.
//
// Each part has a second, control address for operations of the platform itself and for
// fault injection: POST /faults sets faults, GET /record returns what the part observed.
package site

import (
	"context"
	"encoding/json"
	"fmt"
	"net"
	"net/http"
	"os"
	"time"

	"golang.org/x/sync/errgroup"

	"comfreyrelay.example/platform/platformtest"
	"comfreyrelay.example/relay/failure"
	"comfreyrelay.example/standin/internal/fault"
	"comfreyrelay.example/standin/internal/link"
)

// part is one process of the platform.
type part struct {
	options platformtest.PartOptions
	lis     *link.Listener
	handler http.Handler
	control *http.ServeMux
	// extraServers are served in addition to lis and control.
	extraServers []listenerHandler
	// faults applies the faults that the link does not handle.
	faults func(platformtest.PartFaults)
	extra  *platformtest.ExtraAnswers      // nil for parts without them
	run    func(ctx context.Context) error // runs alongside the servers; may be nil
}

// listenerHandler is a listener and the handler that serves it.
type listenerHandler struct {
	lis     net.Listener
	handler http.Handler
}

// Run runs the part described by the file until ctx is done.
func Run(ctx context.Context, file string) error {
	text, err := os.ReadFile(file)
	if err != nil {
		return failure.Wrap(err, failure.Invalid, "the options cannot be read", "name a JSON file with --file")
	}
	var options platformtest.PartOptions
	if err := json.Unmarshal(text, &options); err != nil {
		return failure.Wrap(err, failure.Invalid, "the options cannot be read", "write them as JSON")
	}
	lis, err := listen(options.Address)
	if err != nil {
		return err
	}
	self := &part{options: options, lis: lis, control: http.NewServeMux(), faults: func(platformtest.PartFaults) {}}
	lis.Limit(options.MaxConns)
	ctx, cancel := context.WithCancel(ctx)
	defer cancel()
	switch options.Role {
	case platformtest.RoleStore:
		err = self.setupStore()
	case platformtest.RoleEndpoint:
		self.setupEndpoint(ctx)
	case platformtest.RoleNetwork:
		err = self.setupNetwork()
	case platformtest.RoleOrigin:
		self.setupOrigin()
	default:
		return failure.New(failure.Invalid, "the role is unknown", "use store, endpoint, origin or network")
	}
	if err != nil {
		return err
	}
	return self.serve(ctx)
}

// listen listens on an address through a link, which injects network faults.
func listen(address string) (*link.Listener, error) {
	lis, err := net.Listen("tcp", address)
	if err != nil {
		return nil, failure.Wrap(err, failure.Unavailable, "cannot listen on "+address, "choose a free address")
	}
	return link.New(lis), nil
}

func (p *part) serve(ctx context.Context) error {
	knobs := &fault.Knobs[platformtest.PartFaults]{Changed: func(values platformtest.PartFaults) platformtest.PartFaults {
		values.Link = p.lis.Set(values.Link)
		p.faults(values)
		values.Compact, values.Lapse, values.Spoil = false, false, false
		return values
	}}
	p.control.Handle("/faults", knobs)
	control, err := net.Listen("tcp", p.options.Control)
	if err != nil {
		return failure.Wrap(err, failure.Unavailable, "cannot listen on "+p.options.Control, "choose a free address")
	}
	fmt.Fprintf(os.Stdout, "listening address=%s\n", p.lis.Addr())
	group, ctx := errgroup.WithContext(ctx)
	if p.handler == nil {
		p.handler = http.NotFoundHandler()
	}
	group.Go(func() error { return serve(ctx, p.lis, p.handler, p.extra) })
	group.Go(func() error { return serve(ctx, control, p.control, nil) })
	for _, more := range p.extraServers {
		group.Go(func() error { return serve(ctx, more.lis, more.handler, nil) })
	}
	if p.run != nil {
		group.Go(func() error { return p.run(ctx) })
	}
	return group.Wait()
}

// serve serves HTTP until ctx is done, with extra answers unless extra is nil.
func serve(ctx context.Context, lis net.Listener, handler http.Handler, extra *platformtest.ExtraAnswers) error {
	const headerTimeout = 10 * time.Second
	server := &http.Server{Handler: handler, ReadHeaderTimeout: headerTimeout}
	if extra != nil {
		lis, server.Handler, server.ConnContext = extra.Listen(lis), extra.Handler(handler), extra.ConnContext
	}
	defer context.AfterFunc(ctx, func() { _ = server.Close() })()
	err := server.Serve(lis)
	if ctx.Err() != nil {
		return nil
	}
	return err
}

func writeJSON(w http.ResponseWriter, body any) {
	w.Header().Set("Content-Type", "application/json")
	_ = json.NewEncoder(w).Encode(body)
}
