// Package upstream carries requests to endpoints: each request goes out once,
// on a connection that this package owns.
//
// The library's own transport is no use here: it sends some requests again by
// itself when a kept connection turns out to be closed, and what must run once
// would run twice.
package upstream

import (
	"bufio"
	"errors"
	"io"
	"net"
	"net/http"
	"os"
	"sync/atomic"
	"syscall"
	"time"
)

const (
	// readBuffer holds the head of an answer and a few events.
	readBufferSize = 4 << 10
	// writeBuffer lets a usual request go out in one packet.
	writeBufferSize = 2 << 10
	// patienceSlice is how often a read that waits looks whether it should go
	// on.
	pollInterval = 250 * time.Millisecond
)

// errImpatient says that the reader of an answer gave it up.
var errReadAbandoned = errors.New("the answer was given up")

// Conn is a connection to one endpoint. One goroutine at a time uses it.
type Conn struct {
	netConn     net.Conn
	target      Target
	reader      *bufio.Reader
	writer      *bufio.Writer
	idleSince   time.Time     // when it was put back
	idleTimeout time.Duration // how long the endpoint keeps it while idle

	cancelled atomic.Bool
	// patient is asked from time to time while a read waits; false ends it.
	keepWaiting func(waited time.Duration) bool
	wakeDelay   time.Duration // by which the latest of these times was missed
}

func newConn(netConn net.Conn, target Target) *Conn {
	c := &Conn{netConn: netConn, target: target}
	c.reader = bufio.NewReaderSize(pollingReader{c}, readBufferSize)
	c.writer = bufio.NewWriterSize(netConn, writeBufferSize)
	return c
}

// SetPatience sets what decides whether a read goes on waiting; nil waits for
// ever.
func (c *Conn) SetPatience(f func(waited time.Duration) bool) { c.keepWaiting, c.wakeDelay = f, 0 }

// Send writes a request; deadline bounds the write.
func (c *Conn) Send(req *http.Request, deadline time.Time) error {
	if err := c.netConn.SetWriteDeadline(deadline); err != nil {
		return err
	}
	if err := req.Write(c.writer); err != nil {
		return err
	}
	return c.writer.Flush()
}

// Receive reads the head of an answer to the request.
func (c *Conn) Receive(req *http.Request) (*http.Response, error) {
	return http.ReadResponse(c.reader, req)
}

// Cancel gives up what was sent: reads and writes in progress and later ones fail,
// and the close that follows is a reset. After an orderly close the kernel would still deliver
// what it has queued, so that a request behind a narrow link would reach its endpoint long after
// its caller left. Any goroutine may call it.
func (c *Conn) Cancel() {
	c.cancelled.Store(true)
	if tcp, ok := c.netConn.(*net.TCPConn); ok {
		_ = tcp.SetLinger(0)
	}
	_ = c.netConn.SetDeadline(time.Unix(1, 0))
}

// Late returns by how much a read that waited was woken too late at most: this process
// itself stood still for so long.
func (c *Conn) Late() time.Duration { return c.wakeDelay }

// Close ends the connection.
func (c *Conn) Close() { _ = c.netConn.Close() }

// patientReader reads with a deadline that is put off as long as the
// connection's patience lasts. A reader above it sees no time-out and so does
// not break off where it could have gone on.
type pollingReader struct{ conn *Conn }

func (r pollingReader) Read(buf []byte) (int, error) {
	c := r.conn
	// Whole looks are counted: a process that stood still itself sees at the next look what
	// came meanwhile.
	waited := time.Duration(0)
	for {
		if c.cancelled.Load() {
			return 0, errReadAbandoned
		}
		deadline := time.Now().Add(pollInterval)
		if c.keepWaiting != nil {
			_ = c.netConn.SetReadDeadline(deadline)
			if c.cancelled.Load() {
				return 0, errReadAbandoned
			}
		}
		n, err := c.netConn.Read(buf)
		if n > 0 || !errors.Is(err, os.ErrDeadlineExceeded) {
			return n, err
		}
		c.wakeDelay = max(c.wakeDelay, time.Since(deadline))
		waited += pollInterval
		if c.cancelled.Load() || c.keepWaiting == nil || !c.keepWaiting(waited) {
			return 0, errReadAbandoned
		}
	}
}

// quiet reports whether an idle connection is still open and has brought
// nothing: bytes that nobody asked for belong to no request, and the next
// answer could not be distinguished from them.
func (c *Conn) reusable() bool {
	if c.reader.Buffered() > 0 {
		return false
	}
	sysConn, ok := c.netConn.(syscall.Conn)
	if !ok {
		return true
	}
	rawConn, err := sysConn.SyscallConn()
	if err != nil {
		return false
	}
	open := false
	err = rawConn.Read(func(fd uintptr) bool {
		var buf [1]byte
		n, err := syscall.Read(int(fd), buf[:])
		open = n < 0 && (errors.Is(err, syscall.EAGAIN) || errors.Is(err, syscall.EWOULDBLOCK))
		return true
	})
	return err == nil && open
}

// drained reports whether an answer was read to its end and nothing follows.
func fullyRead(body io.Reader, reader *bufio.Reader) bool {
	var buf [1]byte
	n, err := body.Read(buf[:])
	return n == 0 && errors.Is(err, io.EOF) && reader.Buffered() == 0
}

// GivenUp reports whether a read ended because its patience did.
func GivenUp(err error) bool { return errors.Is(err, errReadAbandoned) }
