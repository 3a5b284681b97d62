package dispatch

import (
	"context"

	"storj.io/drpc"

	"comfreyrelay.example/relay/peer"
	"comfreyrelay.example/relay/wire"
)

// Stream delivers the answer frames of one attempt.
type Stream struct {
	Recv  func() (*wire.Frame, error)
	Close func() error
}

// Hosts calls the agents on hosts. Tests replace the functions with fakes.
type Hosts struct {
	// Run sends the attempt to the agent at the address. If it returns an error,
	// sent is false only if the attempt's message certainly never left this
	// process.
	Run func(ctx context.Context, address string, attempt *wire.Attempt) (stream Stream, sent bool, err error)
	// Cancel cancels an attempt. The agent keeps a tombstone, so that an attempt
	// delivered later does not start.
	Cancel func(ctx context.Context, address string, ask *wire.CancelRequest) (*wire.CancelReply, error)
}

// NewHosts returns a Hosts that calls agents over connections of the pool.
//
// Rule BOUND of spec/once.pml.
func NewHosts(pool *peer.Pool) Hosts {
	return Hosts{
		Run: func(ctx context.Context, address string, attempt *wire.Attempt) (Stream, bool, error) {
			conn := &openedConn{Conn: pool.Conn(ctx, address)}
			stream, err := wire.NewDRPCHostClient(conn).Run(ctx, attempt)
			if err != nil {
				return Stream{}, conn.opened, err
			}
			return Stream{Recv: stream.Recv, Close: stream.Close}, true, nil
		},
		Cancel: func(ctx context.Context, address string, ask *wire.CancelRequest) (*wire.CancelReply, error) {
			return wire.NewDRPCHostClient(pool.Conn(ctx, address)).Cancel(ctx, ask)
		},
	}
}

// openedConn records whether its stream was opened. The generated client opens
// the stream before it sends the message, so an error while opening proves that
// the message was not sent.
type openedConn struct {
	drpc.Conn
	opened bool
}

func (c *openedConn) NewStream(ctx context.Context, rpc string, enc drpc.Encoding) (drpc.Stream, error) {
	stream, err := c.Conn.NewStream(ctx, rpc, enc)
	c.opened = err == nil
	return stream, err
}
