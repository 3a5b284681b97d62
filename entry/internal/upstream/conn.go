// Package upstream sends requests to endpoints. Each request is sent once, on a
// connection from this package's pool.
//
// It does not use http.Transport, which resends some requests by itself when a
// kept connection turns out to be closed: a request that must run at most once
// would run twice.
package upstream

import (
	"bufio"
	"errors"
	"hash/maphash"
	"io"
	"net"
	"net/http"
	"os"
	"slices"
	"sync"
	"sync/atomic"
	"syscall"
	"time"
)

const (
	// readBufferSize has room for the header of a response and a few events.
	readBufferSize = 4 << 10
	// writeBufferSize lets a usual request be sent in one packet.
	writeBufferSize = 2 << 10
	// maxHeadBytes limits the status line and the headers of a response.
	maxHeadBytes = 64 << 10
	// maxInterimResponses limits the interim responses before a final one.
	maxInterimResponses = 8
	// pollInterval is how often a waiting read checks whether to continue.
	pollInterval = 250 * time.Millisecond
)

// errReadAbandoned is returned by reads that were cancelled or that keepWaiting
// stopped.
var errReadAbandoned = errors.New("gave up reading the response")

// errStatus is returned if a response has a status that cannot end a request.
var errStatus = errors.New("the status of the response is not one that ends a request")

// errHeadTooLong is returned if the header of a response exceeds maxHeadBytes.
var errHeadTooLong = errors.New("the header of the response is too long")

// Conn is a connection to one endpoint. Except for Cancel, its methods may not be
// called concurrently.
type Conn struct {
	netConn     net.Conn
	target      Target
	number      uint64 // unique in its pool
	reader      *bufio.Reader
	writer      *bufio.Writer
	idleSince   time.Time     // when it was put into the pool
	idleTimeout time.Duration // how long it may be reused while idle
	requestIDs  []uint64      // hashes of the IDs of the requests that were sent
	responses   int           // received so far, including those that were dropped
	retired     bool          // not to be reused

	// inHead tells that a header is read; headLeft is how much of it may still be read.
	inHead   bool
	headLeft int

	cancelled atomic.Bool
	mu        sync.Mutex // guards uses, and cancelling against the end of a use
	uses      int        // ended uses
	// keepWaiting is called every pollInterval while a read waits; false ends the read.
	keepWaiting ReadWait
}

// ReadWait decides whether a read that has waited for a time keeps waiting. late is how long after its
// poll deadline the read was woken: a large value means that this process itself was stalled.
type ReadWait func(waited, late time.Duration) bool

func newConn(netConn net.Conn, target Target, number uint64) *Conn {
	c := &Conn{netConn: netConn, target: target, number: number}
	c.reader = bufio.NewReaderSize(pollingReader{c}, readBufferSize)
	c.writer = bufio.NewWriterSize(netConn, writeBufferSize)
	return c
}

// SetReadWait sets the function that decides whether a read keeps waiting. With
// nil, reads wait without a limit.
func (c *Conn) SetReadWait(f ReadWait) { c.keepWaiting = f }

// idSeed is the seed of the hashes of request IDs.
var idSeed = maphash.MakeSeed()

// carried reports whether a request with this ID was sent on the connection.
func (c *Conn) carried(requestID string) bool {
	return slices.Contains(c.requestIDs, maphash.String(idSeed, requestID))
}

// Send writes a request. The write fails at the deadline.
func (c *Conn) Send(requestID string, req *http.Request, deadline time.Time) error {
	c.requestIDs = append(c.requestIDs, maphash.String(idSeed, requestID))
	if err := c.netConn.SetWriteDeadline(deadline); err != nil {
		return err
	}
	if err := req.Write(c.writer); err != nil {
		return err
	}
	return c.writer.Flush()
}

// Receive reads the final response to the request up to its body. It fails if the headers up to it are
// longer than maxHeadBytes, or if the status is none that ends a request.
func (c *Conn) Receive(req *http.Request) (*http.Response, error) {
	c.inHead, c.headLeft = true, maxHeadBytes
	defer func() { c.inHead = false }()
	for range maxInterimResponses {
		resp, err := http.ReadResponse(c.reader, req)
		if err != nil {
			return nil, err
		}
		switch {
		case resp.StatusCode >= http.StatusOK:
			c.responses++
			return resp, nil
		case resp.StatusCode < http.StatusContinue || resp.StatusCode == http.StatusSwitchingProtocols:
			return nil, errStatus
		}
	}
	return nil, errStatus
}

// Retire makes the pool close the connection instead of keeping it.
func (c *Conn) Retire() { c.retired = true }

// EndsWithConnection reports whether only the end of its connection ends a response, so that no other
// response can follow it.
func EndsWithConnection(resp *http.Response) bool {
	return resp.ContentLength < 0 && len(resp.TransferEncoding) == 0
}

// Number returns the connection's number in its pool, for logs.
func (c *Conn) Number() uint64 { return c.number }

// Responses returns the number of responses received on the connection.
func (c *Conn) Responses() int { return c.responses }

// Cancel abandons the request: reads and writes in progress and later ones fail, and
// Close resets the connection. After an orderly close the kernel would still deliver
// the data in its send queue, so that over a slow link a request would reach its
// endpoint long after its caller left. Cancel may be called from any goroutine.
func (c *Conn) Cancel() {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.cancel()
}

// CancelFunc returns a function that cancels the current use of the connection. It does nothing once
// that use has ended: the connection may serve another request by then.
func (c *Conn) CancelFunc() func() {
	c.mu.Lock()
	defer c.mu.Unlock()
	use := c.uses
	return func() {
		c.mu.Lock()
		defer c.mu.Unlock()
		if c.uses == use {
			c.cancel()
		}
	}
}

// endUse ends the current use and reports whether the connection may be reused.
func (c *Conn) endUse() bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.uses++
	return !c.cancelled.Load()
}

// cancel cancels the connection. The caller holds c.mu.
func (c *Conn) cancel() {
	c.cancelled.Store(true)
	if tcp, ok := c.netConn.(*net.TCPConn); ok {
		_ = tcp.SetLinger(0)
	}
	_ = c.netConn.SetDeadline(time.Unix(1, 0))
}

// Close closes the connection.
func (c *Conn) Close() { _ = c.netConn.Close() }

// pollingReader reads with a deadline that is extended as long as keepWaiting
// allows. A reader on top of it sees no time-outs, so it does not fail while the
// read may continue.
type pollingReader struct{ conn *Conn }

func (r pollingReader) Read(buf []byte) (int, error) {
	c := r.conn
	if !c.inHead {
		return r.poll(buf)
	}
	if c.headLeft <= 0 {
		return 0, errHeadTooLong
	}
	n, err := r.poll(buf)
	c.headLeft -= n
	return n, err
}

// poll reads once data has arrived.
func (r pollingReader) poll(buf []byte) (int, error) {
	c := r.conn
	// The wait is counted in poll intervals instead of elapsed time: after this process was
	// stalled, the next read still gets the data that arrived meanwhile.
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
		waited += pollInterval
		if c.cancelled.Load() || c.keepWaiting == nil || !c.keepWaiting(waited, time.Since(deadline)) {
			return 0, errReadAbandoned
		}
	}
}

// idleState is the state of an idle connection.
type idleState int

const (
	idleOpen   idleState = iota
	idleClosed           // by the endpoint, or failed
	// idleUnexpectedData means that data arrived. It belongs to no request and could not be
	// distinguished from the next response.
	idleUnexpectedData
)

// idleState checks an idle connection. Only one in state idleOpen may be reused.
func (c *Conn) idleState() idleState {
	if c.reader.Buffered() > 0 {
		return idleUnexpectedData
	}
	sysConn, ok := c.netConn.(syscall.Conn)
	if !ok {
		return idleOpen
	}
	rawConn, err := sysConn.SyscallConn()
	if err != nil {
		return idleClosed
	}
	state := idleClosed
	err = rawConn.Read(func(fd uintptr) bool {
		var buf [1]byte
		n, err := syscall.Read(int(fd), buf[:])
		switch {
		case n > 0:
			state = idleUnexpectedData
		case n < 0 && (errors.Is(err, syscall.EAGAIN) || errors.Is(err, syscall.EWOULDBLOCK)):
			state = idleOpen
		}
		return true
	})
	if err != nil {
		return idleClosed
	}
	return state
}

// fullyRead reports whether a response body was read to its end and no data
// follows it.
func fullyRead(body io.Reader, reader *bufio.Reader) bool {
	var buf [1]byte
	n, err := body.Read(buf[:])
	return n == 0 && errors.Is(err, io.EOF) && reader.Buffered() == 0
}

// IsReadAbandoned reports whether a read failed because it was cancelled or because the
// connection's keepWaiting function stopped it.
func IsReadAbandoned(err error) bool { return errors.Is(err, errReadAbandoned) }
