// Package peer transports drpc calls between the system's own processes. It pools
// outgoing connections, serves incoming ones and uses mutual TLS for both.
package peer

import (
	"context"
	"crypto/tls"
	"net"
	"time"

	"storj.io/drpc"
	"storj.io/drpc/drpcconn"
	"storj.io/drpc/drpcmanager"
	"storj.io/drpc/drpcpool"
	"storj.io/drpc/drpcstream"
	"storj.io/drpc/drpcwire"
)

const (
	// idleExpiration is the idle time after which a pooled connection is closed.
	idleExpiration = 30 * time.Second
	// connectionsPerPeer limits the idle connections kept for one address.
	connectionsPerPeer = 64
	// dialTimeout limits the TCP and TLS handshakes together.
	dialTimeout = 2 * time.Second
	// cancelGrace lets a send in progress finish, so that a cancelled call does
	// not close its connection.
	cancelGrace = 5 * time.Millisecond
	// maximumMessage is the largest message on the wire, in bytes.
	maximumMessage = 4 << 20
)

// Pool keeps connections to other processes by address. A drpc connection
// carries one call at a time, so the pool holds several for one address.
type Pool struct {
	keys *Keys // nil for clear text
	pool *drpcpool.Pool[string, *drpcconn.Conn]
}

// NewPool returns an empty pool; nil keys mean clear text.
func NewPool(keys *Keys) *Pool {
	return &Pool{
		keys: keys,
		pool: drpcpool.New[string, *drpcconn.Conn](drpcpool.Options{
			Expiration:  idleExpiration,
			KeyCapacity: connectionsPerPeer,
		}),
	}
}

// Conn returns a connection to the address ("ip:port"). It dials on use and
// returns the connection to the pool after each call.
func (p *Pool) Conn(ctx context.Context, address string) drpc.Conn {
	return meteredConn{p.pool.Get(ctx, address, p.dial)}
}

// Close closes the idle connections.
func (p *Pool) Close() error { return p.pool.Close() }

func (p *Pool) dial(ctx context.Context, address string) (*drpcconn.Conn, error) {
	ctx, cancel := context.WithTimeout(ctx, dialTimeout)
	defer cancel()
	dialer := &net.Dialer{}
	raw, err := dialer.DialContext(ctx, "tcp", address)
	if err != nil {
		return nil, err
	}
	raw = meteredTransport{raw}
	if p.keys == nil {
		return drpcconn.NewWithOptions(raw, connOptions()), nil
	}
	secured := tls.Client(raw, p.keys.ClientConfig())
	if err := secured.HandshakeContext(ctx); err != nil {
		_ = raw.Close()
		return nil, err
	}
	return drpcconn.NewWithOptions(secured, connOptions()), nil
}

func connOptions() drpcconn.Options {
	return drpcconn.Options{Manager: managerOptions()}
}

func managerOptions() drpcmanager.Options {
	return drpcmanager.Options{
		SoftCancel:      true,
		SoftCancelGrace: cancelGrace,
		Reader:          drpcwire.ReaderOptions{MaximumBufferSize: maximumMessage},
		Stream:          drpcstream.Options{MaximumBufferSize: 64 << 10},
	}
}
