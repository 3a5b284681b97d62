// Package endless simulates a faulty peer that sends bytes without end, for tests.
package endless

import (
	"context"
	"errors"
	"fmt"
	"net"
	"sync"
	"time"
)

// maxBytes is how many bytes a Server sends on a connection that its peer does not close.
const maxBytes = 256 << 20

const (
	// callTimeout is the time within which a call must notice that the answer does not end.
	callTimeout = time.Minute
	// closeTimeout is the time within which the connection must be closed after the call failed.
	closeTimeout = 20 * time.Second
	// unreadTime is how long a connection that may stay open is watched.
	unreadTime = time.Second
)

// Check makes a call to a Server and returns an error unless the call fails and the connection is
// closed. If mayStayOpen is set, the connection may also be left unread.
func Check(ctx context.Context, prefix, repeated string, mayStayOpen bool, call func(ctx context.Context, address string) error) error {
	server, err := Listen(prefix, repeated)
	if err != nil {
		return err
	}
	defer server.Close()
	ctx, cancel := context.WithTimeout(ctx, callTimeout)
	defer cancel()
	err = call(ctx, server.Address())
	if err == nil {
		return errors.New("got no error from the call, want one")
	}
	if ctx.Err() != nil {
		return fmt.Errorf("got the call ended by its time-out: %w", err)
	}
	watch := closeTimeout
	if mayStayOpen {
		watch = unreadTime
	}
	select {
	case closed := <-server.ClosedByPeer():
		if !closed {
			return errors.New("got all bytes read that the peer would send, want the connection closed")
		}
	case <-time.After(watch):
		if !mayStayOpen {
			return errors.New("got the connection kept open, want it closed")
		}
	}
	return nil
}

// Server accepts connections, waits for the first bytes on each, and then sends a prefix once and a
// text again and again until the peer closes the connection.
type Server struct {
	listener net.Listener
	prefix   string
	repeated []byte
	closed   chan bool

	mu    sync.Mutex
	conns []net.Conn
}

// Listen starts a server on a free loopback port.
func Listen(prefix, repeated string) (*Server, error) {
	lis, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		return nil, err
	}
	s := &Server{listener: lis, prefix: prefix, closed: make(chan bool, 64)}
	for len(s.repeated) < 16<<10 {
		s.repeated = append(s.repeated, repeated...)
	}
	go s.accept()
	return s, nil
}

// Address returns "IP:PORT".
func (s *Server) Address() string { return s.listener.Addr().String() }

// Close stops the server and closes all connections.
func (s *Server) Close() {
	_ = s.listener.Close()
	s.mu.Lock()
	defer s.mu.Unlock()
	for _, conn := range s.conns {
		_ = conn.Close()
	}
}

// ClosedByPeer receives, for each connection that has ended, whether the peer closed it before
// maxBytes were sent.
func (s *Server) ClosedByPeer() <-chan bool { return s.closed }

func (s *Server) accept() {
	for {
		conn, err := s.listener.Accept()
		if err != nil {
			return
		}
		s.mu.Lock()
		s.conns = append(s.conns, conn)
		s.mu.Unlock()
		go s.serve(conn)
	}
}

func (s *Server) serve(conn net.Conn) {
	defer func() { _ = conn.Close() }()
	if _, err := conn.Read(make([]byte, 64<<10)); err != nil {
		return
	}
	closed := Send(conn, s.prefix, s.repeated)
	select {
	case s.closed <- closed:
	default:
	}
}

// Send sends a prefix and then the repeated bytes until the peer closes the connection. It reports
// whether the peer did so before maxBytes were sent.
func Send(conn net.Conn, prefix string, repeated []byte) bool {
	if _, err := conn.Write([]byte(prefix)); err != nil {
		return true
	}
	for sent := 0; sent < maxBytes; sent += len(repeated) {
		if _, err := conn.Write(repeated); err != nil {
			return true
		}
	}
	return false
}
