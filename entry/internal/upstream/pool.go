package upstream

import (
	"context"
	"errors"
	"net"
	"net/http"
	"slices"
	"sync"
	"syscall"
	"time"

	"golang.org/x/sys/unix"
)

const (
	// dialTimeout limits the time to connect. It allows for many round trips and
	// leaves time to try another endpoint.
	dialTimeout = 400 * time.Millisecond
	// userTimeout is the time after which a connection fails if its peer does not
	// acknowledge sent data.
	userTimeout = 3 * time.Second
	// defaultIdleTimeout is how long an idle connection may be reused if the
	// endpoint sent no time-out; idleTimeoutMargin is subtracted from one that it
	// sent.
	defaultIdleTimeout = 4 * time.Second
	idleTimeoutMargin  = 700 * time.Millisecond
	// maxIdle limits the idle connections to one target.
	maxIdle = 12
	// maxRequests limits the requests sent on one connection, which remembers all of them.
	maxRequests = 1024
)

// Target is one incarnation of the endpoint at an address. Incarnations are kept apart because,
// after a network partition, a connection to a former one may still look open, and requests sent
// on it would be lost.
type Target struct {
	Address string // "IP:PORT"
	Born    int64  // start time that identifies the incarnation; 0: unknown
}

// Pool keeps idle connections to endpoints by target. It is safe for concurrent use.
type Pool struct {
	now  func() time.Time
	dial func(ctx context.Context, address string) (net.Conn, error)

	mu        sync.Mutex
	idle      map[Target][]*Conn // newest last
	lastSweep time.Time
	counts    Counts
}

// Counts counts the connections that a pool handed out.
type Counts struct {
	Uses  uint64 // connections requested
	Dials uint64 // of these, how many were dialled
	// Unexpected is the number of idle connections that were closed because data had arrived.
	Unexpected uint64
}

// NewPool returns an empty pool.
func NewPool(now func() time.Time) *Pool {
	return &Pool{
		now:  now,
		dial: func(ctx context.Context, address string) (net.Conn, error) { return Dial(ctx, "tcp", address) },
		idle: map[Target][]*Conn{},
	}
}

// Dial opens a connection that fails if its peer stops acknowledging data.
func Dial(ctx context.Context, network, address string) (net.Conn, error) {
	dialer := &net.Dialer{Timeout: dialTimeout, KeepAlive: -1, Control: setUserTimeout}
	return dialer.DialContext(ctx, network, address)
}

// setUserTimeout sets TCP_USER_TIMEOUT. Without it a connection hangs forever when
// the network to its peer is cut.
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

// Get returns an idle connection to the target on which no request with this ID was sent, or opens a new
// one. If it fails, no request data was sent.
//
// An ID in a response names the request but not the send: an endpoint that repeats its response late could
// do so when the same request is sent again on the connection.
func (p *Pool) Get(ctx context.Context, target Target, requestID string) (*Conn, error) {
	return p.get(ctx, target, func(conn *Conn) bool { return !conn.carried(requestID) })
}

// get returns an open idle connection to the target that may be used, or opens a new one.
func (p *Pool) get(ctx context.Context, target Target, usable func(*Conn) bool) (*Conn, error) {
	for {
		conn := p.takeIdle(target, usable)
		if conn == nil {
			break
		}
		state := conn.idleState()
		if state == idleOpen {
			return conn, nil
		}
		conn.Close()
		if state == idleUnexpectedData {
			p.count(func(counts *Counts) { counts.Unexpected++ })
		}
	}
	return p.connect(ctx, target)
}

// Dial opens a new connection to the target, whatever the pool has. If it fails, no request data
// was sent.
func (p *Pool) Dial(ctx context.Context, target Target) (*Conn, error) {
	p.count(func(counts *Counts) { counts.Uses++ })
	return p.connect(ctx, target)
}

func (p *Pool) connect(ctx context.Context, target Target) (*Conn, error) {
	var number uint64
	p.count(func(counts *Counts) {
		counts.Dials++
		number = counts.Dials
	})
	netConn, err := p.dial(ctx, target.Address)
	if err != nil {
		return nil, err
	}
	return newConn(netConn, target, number), nil
}

// takeIdle removes the newest usable idle connection to the target from the pool. It
// returns nil if there is none within its idle time-out.
func (p *Pool) takeIdle(target Target, usable func(*Conn) bool) *Conn {
	now := p.now()
	p.mu.Lock()
	defer p.mu.Unlock()
	p.counts.Uses++
	p.sweep(now)
	conns := p.idle[target]
	for i := len(conns) - 1; i >= 0; i-- {
		conn := conns[i]
		if !usable(conn) {
			continue
		}
		conns = slices.Delete(conns, i, i+1)
		p.idle[target] = conns
		if now.Sub(conn.idleSince) < conn.idleTimeout {
			return conn
		}
		conn.Close()
	}
	if len(conns) == 0 {
		delete(p.idle, target)
	}
	return nil
}

// sweep closes connections that were idle for too long. It runs at most once a
// second; p.mu must be locked.
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

// Put returns a connection to the pool after its response was read. The connection
// is kept only if the response ended cleanly, neither side is closing, and fewer
// than limit connections to the target are idle. idleTimeout is the time that the
// endpoint sent, or 0 if it sent none.
func (p *Pool) Put(conn *Conn, resp *http.Response, idleTimeout time.Duration, limit int) {
	conn.SetReadWait(nil)
	if resp.Close || conn.retired || len(conn.requestIDs) >= maxRequests || EndsWithConnection(resp) || !fullyRead(resp.Body, conn.reader) || !conn.endUse() {
		conn.Close()
		return
	}
	if idleTimeout > 0 {
		p.putIdle(conn, idleTimeout-idleTimeoutMargin, limit)
	} else {
		p.putIdle(conn, defaultIdleTimeout, limit)
	}
}

// putIdle adds a connection without a request in progress to the pool, or closes
// it if there is no room.
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

// Listens reports whether a process listens at the target. An idle connection that is
// still open, or a successful new one, shows that it does, and is kept for the next
// request; a refused connection shows that it does not. Any other failure shows neither
// and is returned as an error.
func (p *Pool) Listens(ctx context.Context, target Target) (bool, error) {
	conn, err := p.get(ctx, target, func(*Conn) bool { return true })
	if errors.Is(err, syscall.ECONNREFUSED) {
		return false, nil
	}
	if err != nil {
		return false, err
	}
	p.putIdle(conn, defaultIdleTimeout, maxIdle)
	return true, nil
}

func (p *Pool) count(change func(*Counts)) {
	p.mu.Lock()
	defer p.mu.Unlock()
	change(&p.counts)
}

// Counts returns the counts since the pool was created.
func (p *Pool) Counts() Counts {
	p.mu.Lock()
	defer p.mu.Unlock()
	return p.counts
}
