package upstream

import (
	"context"
	"errors"
	"net"
	"net/http"
	"sync"
	"syscall"
	"time"

	"golang.org/x/sys/unix"
)

const (
	// dialTimeout bounds a new connection: many round trips, and little enough
	// to try another endpoint in time.
	dialTimeout = 400 * time.Millisecond
	// userTimeout ends a connection whose peer acknowledges nothing.
	userTimeout = 3 * time.Second
	// defaultKeep is how long an idle connection is used where the endpoint
	// does not say; keepMargin is what is left of the time that it says.
	defaultIdleTimeout = 4 * time.Second
	idleTimeoutMargin  = 700 * time.Millisecond
	// maxIdle bounds the idle connections kept to one endpoint.
	maxIdle = 12
)

// Target is one incarnation of what listens at an address. A connection to a former incarnation
// may look open behind a cut, and what is sent on it is lost.
type Target struct {
	Address string // "IP:PORT"
	Born    int64  // of the incarnation; 0: unknown
}

// Pool keeps connections to endpoints by target. It is safe for concurrent use.
type Pool struct {
	now  func() time.Time
	dial func(ctx context.Context, address string) (net.Conn, error)

	mu        sync.Mutex
	idle      map[Target][]*Conn // newest last
	lastSweep time.Time
	dials     uint64
	uses      uint64
}

// NewPool returns an empty pool.
func NewPool(now func() time.Time) *Pool {
	return &Pool{
		now:  now,
		dial: func(ctx context.Context, address string) (net.Conn, error) { return Dial(ctx, "tcp", address) },
		idle: map[Target][]*Conn{},
	}
}

// Dial opens a connection that ends when its peer goes silent.
func Dial(ctx context.Context, network, address string) (net.Conn, error) {
	dialer := &net.Dialer{Timeout: dialTimeout, KeepAlive: -1, Control: setUserTimeout}
	return dialer.DialContext(ctx, network, address)
}

// control makes a connection end whose peer went silent: without it one behind
// a cut hangs for ever.
func setUserTimeout(_, _ string, rawConn syscall.RawConn) error {
	var sockErr error
	err := rawConn.Control(func(fd uintptr) {
		sockErr = unix.SetsockoptInt(int(fd), unix.IPPROTO_TCP, unix.TCP_USER_TIMEOUT, int(userTimeout.Milliseconds()))
	})
	if err != nil {
		return err
	}
	return sockErr
}

// Get returns an idle connection to the target or a new one. Nothing was sent
// where it fails.
func (p *Pool) Get(ctx context.Context, target Target) (*Conn, error) {
	for {
		conn := p.takeIdle(target)
		if conn == nil {
			break
		}
		if conn.reusable() {
			return conn, nil
		}
		conn.Close()
	}
	p.mu.Lock()
	p.dials++
	p.mu.Unlock()
	netConn, err := p.dial(ctx, target.Address)
	if err != nil {
		return nil, err
	}
	return newConn(netConn, target), nil
}

func (p *Pool) takeIdle(target Target) *Conn {
	now := p.now()
	p.mu.Lock()
	defer p.mu.Unlock()
	p.uses++
	p.sweep(now)
	conns := p.idle[target]
	for len(conns) > 0 {
		conn := conns[len(conns)-1]
		conns = conns[:len(conns)-1]
		if now.Sub(conn.idleSince) < conn.idleTimeout {
			p.idle[target] = conns
			return conn
		}
		conn.Close()
	}
	delete(p.idle, target)
	return nil
}

// sweep closes what has been idle for too long, at most once a second.
func (p *Pool) sweep(now time.Time) {
	if now.Sub(p.lastSweep) < time.Second {
		return
	}
	p.lastSweep = now
	for target, conns := range p.idle {
		kept := conns[:0]
		for _, conn := range conns {
			if now.Sub(conn.idleSince) < conn.idleTimeout {
				kept = append(kept, conn)
			} else {
				conn.Close()
			}
		}
		p.idle[target] = kept
		if len(kept) == 0 {
			delete(p.idle, target)
		}
	}
}

// Put takes back a connection whose answer was read; it is kept only if the
// answer ended cleanly, both sides go on and there is room for so many idle ones. keep is
// the time that the endpoint sent, 0 where it did not.
func (p *Pool) Put(conn *Conn, resp *http.Response, idleTimeout time.Duration, limit int) {
	conn.SetPatience(nil)
	if resp.Close || conn.cancelled.Load() || resp.ContentLength < 0 && len(resp.TransferEncoding) == 0 ||
		!fullyRead(resp.Body, conn.reader) {
		conn.Close()
		return
	}
	if idleTimeout > 0 {
		p.putIdle(conn, idleTimeout-idleTimeoutMargin, limit)
	} else {
		p.putIdle(conn, defaultIdleTimeout, limit)
	}
}

// keepIdle keeps a connection on which nothing is in progress for so long.
func (p *Pool) putIdle(conn *Conn, idleTimeout time.Duration, limit int) {
	_ = conn.netConn.SetReadDeadline(time.Time{})
	conn.idleTimeout, conn.idleSince = idleTimeout, p.now()
	p.mu.Lock()
	defer p.mu.Unlock()
	if conn.idleTimeout <= 0 || len(p.idle[conn.target]) >= min(maxIdle, limit) {
		conn.Close()
		return
	}
	p.idle[conn.target] = append(p.idle[conn.target], conn)
}

// Listens reports whether anything listens at the target. A connection that was kept and
// is still open, or a new one, shows it and is kept for the next request; a port that
// refuses shows that nothing does. Any other end shows neither: err is not nil then.
func (p *Pool) Listens(ctx context.Context, target Target) (bool, error) {
	conn, err := p.Get(ctx, target)
	if errors.Is(err, syscall.ECONNREFUSED) {
		return false, nil
	}
	if err != nil {
		return false, err
	}
	p.putIdle(conn, defaultIdleTimeout, maxIdle)
	return true, nil
}

// Counts returns how many connections were asked for and how many were new.
func (p *Pool) Counts() (uses, dials uint64) {
	p.mu.Lock()
	defer p.mu.Unlock()
	return p.uses, p.dials
}
