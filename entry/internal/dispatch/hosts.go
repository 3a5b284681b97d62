package dispatch

import (
	"context"

	"storj.io/drpc"

	"comfreyrelay.example/relay/peer"
	"comfreyrelay.example/relay/wire"
)

// Stream is the answer of one attempt as it comes.
type Stream struct {
	Recv  func() (*wire.Frame, error)
	Close func() error
}

// Hosts is how attempts reach agents. Its fields are the seams.
type Hosts struct {
	// Run hands the attempt to the agent at the address. With an error,
	// sent is false only if the attempt's message surely never left this
	// process.
	Run func(ctx context.Context, address string, attempt *wire.Attempt) (stream Stream, sent bool, err error)
	// Cancel leaves a tombstone at the agent.
	Cancel func(ctx context.Context, address string, ask *wire.CancelRequest) (*wire.CancelReply, error)
}

// NewHosts returns Hosts that call agents over the pool.
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

// openedConn remembers whether its stream was opened. The generated client
// opens the stream first and sends the message on it afterwards, so that an
// error before proves that the message did not leave.
type openedConn struct {
	drpc.Conn
	opened bool
}

func (c *openedConn) NewStream(ctx context.Context, rpc string, enc drpc.Encoding) (drpc.Stream, error) {
	stream, err := c.Conn.NewStream(ctx, rpc, enc)
	c.opened = err == nil
	return stream, err
}
