package site

import (
	"context"
	"io"
	"net"

	"golang.org/x/sync/errgroup"

	"comfreyrelay.example/platform/platformtest"
	"comfreyrelay.example/standin/internal/link"
)

// setupNetwork sets up TCP forwarding; each forwarded address has its own link, which
// injects network faults.
func (p *part) setupNetwork() error {
	listeners := map[string]*link.Listener{}
	for address := range p.options.Ways {
		lis, err := listen(address)
		if err != nil {
			return err
		}
		listeners[address] = lis
	}
	p.faults = func(f platformtest.PartFaults) {
		for address, lis := range listeners {
			lis.Set(f.Ways[address])
		}
	}
	p.run = func(ctx context.Context) error {
		group, ctx := errgroup.WithContext(ctx)
		for address, lis := range listeners {
			group.Go(func() error {
				forward(ctx, lis, p.options.Ways[address])
				return nil
			})
		}
		return group.Wait()
	}
	return nil
}

// forward accepts connections and forwards each of them to an address until ctx is done.
func forward(ctx context.Context, lis net.Listener, to string) {
	defer context.AfterFunc(ctx, func() { _ = lis.Close() })()
	for {
		conn, err := lis.Accept()
		if err != nil {
			return
		}
		go forwardConn(ctx, conn, to)
	}
}

func forwardConn(ctx context.Context, conn net.Conn, to string) {
	defer func() { _ = conn.Close() }()
	other, err := (&net.Dialer{}).DialContext(ctx, "tcp", to)
	if err != nil {
		return
	}
	defer func() { _ = other.Close() }()
	ended := make(chan struct{}, 2)
	for _, direction := range [][2]net.Conn{{conn, other}, {other, conn}} {
		go func() {
			_, _ = io.Copy(direction[0], direction[1])
			ended <- struct{}{}
		}()
	}
	select {
	case <-ended:
	case <-ctx.Done():
	}
}
