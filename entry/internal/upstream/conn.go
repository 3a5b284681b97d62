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
	readBuffer = 4 << 10
	// writeBuffer lets a usual request go out in one packet.
	writeBuffer = 2 << 10
	// patienceSlice is how often a read that waits looks whether it should go
	// on.
	patienceSlice = 250 * time.Millisecond
)

// errImpatient says that the reader of an answer gave it up.
var errImpatient = errors.New("the answer was given up")

// Conn is a connection to one endpoint. One goroutine at a time uses it.
type Conn struct {
	raw    net.Conn
	to     Target
	reader *bufio.Reader
	writer *bufio.Writer
	idleAt time.Time     // when it was put back
	keep   time.Duration // how long the endpoint keeps it while idle

	cancelled atomic.Bool
	// patient is asked from time to time while a read waits; false ends it.
	patient func(waited time.Duration) bool
	late    time.Duration // by which the latest of these times was missed
}

func newConn(raw net.Conn, to Target) *Conn {
	c := &Conn{raw: raw, to: to}
	c.reader = bufio.NewReaderSize(patientReader{c}, readBuffer)
	c.writer = bufio.NewWriterSize(raw, writeBuffer)
	return c
}

// SetPatience sets what decides whether a read goes on waiting; nil waits for
// ever.
func (c *Conn) SetPatience(patient func(waited time.Duration) bool) { c.patient, c.late = patient, 0 }

// Send writes a request; deadline bounds the write.
func (c *Conn) Send(req *http.Request, deadline time.Time) error {
	if err := c.raw.SetWriteDeadline(deadline); err != nil {
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
	if tcp, ok := c.raw.(*net.TCPConn); ok {
		_ = tcp.SetLinger(0)
	}
	_ = c.raw.SetDeadline(time.Unix(1, 0))
}

// Late returns by how much a read that waited was woken too late at most: this process
// itself stood still for so long.
func (c *Conn) Late() time.Duration { return c.late }

// Close ends the connection.
func (c *Conn) Close() { _ = c.raw.Close() }

// patientReader reads with a deadline that is put off as long as the
// connection's patience lasts. A reader above it sees no time-out and so does
// not break off where it could have gone on.
type patientReader struct{ conn *Conn }

func (r patientReader) Read(into []byte) (int, error) {
	c := r.conn
	// Whole looks are counted: a process that stood still itself sees at the next look what
	// came meanwhile.
	waited := time.Duration(0)
	for {
		if c.cancelled.Load() {
			return 0, errImpatient
		}
		look := time.Now().Add(patienceSlice)
		if c.patient != nil {
			_ = c.raw.SetReadDeadline(look)
			if c.cancelled.Load() {
				return 0, errImpatient
			}
		}
		n, err := c.raw.Read(into)
		if n > 0 || !errors.Is(err, os.ErrDeadlineExceeded) {
			return n, err
		}
		c.late = max(c.late, time.Since(look))
		waited += patienceSlice
		if c.cancelled.Load() || c.patient == nil || !c.patient(waited) {
			return 0, errImpatient
		}
	}
}

// quiet reports whether an idle connection is still open and has brought
// nothing: bytes that nobody asked for belong to no request, and the next
// answer could not be distinguished from them.
func (c *Conn) quiet() bool {
	if c.reader.Buffered() > 0 {
		return false
	}
	sys, ok := c.raw.(syscall.Conn)
	if !ok {
		return true
	}
	rawConn, err := sys.SyscallConn()
	if err != nil {
		return false
	}
	open := false
	err = rawConn.Read(func(fd uintptr) bool {
		var one [1]byte
		n, err := syscall.Read(int(fd), one[:])
		open = n < 0 && (errors.Is(err, syscall.EAGAIN) || errors.Is(err, syscall.EWOULDBLOCK))
		return true
	})
	return err == nil && open
}

// drained reports whether an answer was read to its end and nothing follows.
func drained(body io.Reader, reader *bufio.Reader) bool {
	var one [1]byte
	n, err := body.Read(one[:])
	return n == 0 && errors.Is(err, io.EOF) && reader.Buffered() == 0
}

// GivenUp reports whether a read ended because its patience did.
func GivenUp(err error) bool { return errors.Is(err, errImpatient) }
