// Package link simulates a faulty network link between a simulated service and its
// clients. The faults can be changed while connections are open.
package link

import (
	"errors"
	"net"
	"sync"
	"time"

	"comfreyrelay.example/platform/platformtest"
)

// Listener wraps a net.Listener and applies the link's faults to its connections.
type Listener struct {
	*platformtest.SilenceableListener

	mu        sync.Mutex
	faults    platformtest.LinkFaults
	changed   chan struct{} // closed and replaced whenever the faults change
	open      map[*conn]bool
	limit     int // maximum number of open connections; 0 means no limit
	peak      int // most connections open at the same time
	refused   int
	dialled   int       // connections admitted
	busyUntil time.Time // when the bytes written so far have passed the rate-limited link
}

// New returns a Listener without faults.
func New(lis net.Listener) *Listener {
	return &Listener{SilenceableListener: platformtest.NewSilenceableListener(lis), changed: make(chan struct{}), open: map[*conn]bool{}}
}

// Set replaces the faults and returns them without Reset and Mute, which happen only once.
func (l *Listener) Set(faults platformtest.LinkFaults) platformtest.LinkFaults {
	l.mu.Lock()
	defer l.mu.Unlock()
	if faults.Reset {
		for c := range l.open {
			reset(c.Conn)
		}
		faults.Reset = false
	}
	if faults.Mute {
		l.Silence()
		faults.Mute = false
	}
	l.faults = faults
	close(l.changed)
	l.changed = make(chan struct{})
	return faults
}

// Limit sets the maximum number of open connections; further ones are reset.
func (l *Listener) Limit(connections int) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.limit = connections
}

// Counts returns the most connections that were open at the same time and how many
// were reset because of the limit.
func (l *Listener) Counts() (peak, refused int) {
	l.mu.Lock()
	defer l.mu.Unlock()
	return l.peak, l.refused
}

// Dialled returns how many connections were admitted.
func (l *Listener) Dialled() int {
	l.mu.Lock()
	defer l.mu.Unlock()
	return l.dialled
}

// Accept returns the next connection within the limit.
func (l *Listener) Accept() (net.Conn, error) {
	for {
		raw, err := l.SilenceableListener.Accept()
		if err != nil {
			return nil, err
		}
		if c := l.admit(raw); c != nil {
			return c, nil
		}
		reset(raw)
	}
}

// admit registers a connection, or returns nil if the limit is reached.
func (l *Listener) admit(raw net.Conn) *conn {
	c := &conn{Conn: raw, listener: l, closed: make(chan struct{})}
	l.mu.Lock()
	defer l.mu.Unlock()
	if l.limit > 0 && len(l.open) >= l.limit {
		l.refused++
		return nil
	}
	l.open[c] = true
	l.dialled++
	l.peak = max(l.peak, len(l.open))
	return c
}

// reset closes a connection with a TCP reset.
func reset(raw net.Conn) {
	if tcp, ok := raw.(interface{ SetLinger(seconds int) error }); ok {
		_ = tcp.SetLinger(0)
	}
	_ = raw.Close()
}

// conn is a connection over the link.
type conn struct {
	net.Conn
	listener *Listener

	once   sync.Once
	closed chan struct{}
}

func (c *conn) Close() error {
	c.once.Do(func() { close(c.closed) })
	c.listener.mu.Lock()
	delete(c.listener.open, c)
	c.listener.mu.Unlock()
	return c.Conn.Close()
}

var errClosed = errors.New("the connection is closed")

// waitWhile blocks while blocked is true for the link's faults, and returns the faults
// that ended the wait.
func (c *conn) waitWhile(blocked func(platformtest.LinkFaults) bool) (platformtest.LinkFaults, error) {
	for {
		c.listener.mu.Lock()
		faults, changed := c.listener.faults, c.listener.changed
		c.listener.mu.Unlock()
		if !blocked(faults) {
			return faults, nil
		}
		select {
		case <-changed:
		case <-c.closed:
			return faults, errClosed
		}
	}
}

func (c *conn) Read(buffer []byte) (int, error) {
	n, err := c.Conn.Read(buffer)
	if n == 0 {
		return n, err
	}
	faults, waitErr := c.waitWhile(func(f platformtest.LinkFaults) bool { return f.Silent })
	if waitErr != nil {
		return 0, waitErr
	}
	time.Sleep(time.Duration(faults.DelayMillis) * time.Millisecond)
	return n, err
}

func (c *conn) Write(data []byte) (int, error) {
	faults, err := c.waitWhile(func(f platformtest.LinkFaults) bool { return f.Silent || f.OneWay })
	if err != nil {
		return 0, err
	}
	if faults.BytesPerSecond > 0 {
		time.Sleep(c.listener.reserve(len(data), faults.BytesPerSecond))
	}
	return c.Conn.Write(data)
}

// reserve books the bytes on the rate-limited link and returns how long until they
// have passed it.
func (l *Listener) reserve(bytes, perSecond int) time.Duration {
	l.mu.Lock()
	defer l.mu.Unlock()
	now := time.Now()
	if l.busyUntil.Before(now) {
		l.busyUntil = now
	}
	l.busyUntil = l.busyUntil.Add(time.Duration(float64(bytes) / float64(perSecond) * float64(time.Second)))
	return l.busyUntil.Sub(now)
}
