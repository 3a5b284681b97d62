package main

import (
	"net"
	"net/http"
	"sync"
	"time"
)

// mutableListener accepts connections that can be made silent: nothing that arrives on them is
// read any more and nothing that is written is sent, but they are not closed. New connections work.
type mutableListener struct {
	net.Listener

	mu   sync.Mutex
	open map[*mutableConn]bool
}

// listenMutable serves HTTP on connections that can be made silent.
func listenMutable(address string, handler http.Handler) (*mutableListener, error) {
	lis, err := net.Listen("tcp", address)
	if err != nil {
		return nil, err
	}
	mutable := &mutableListener{Listener: lis, open: map[*mutableConn]bool{}}
	server := &http.Server{Handler: handler, IdleTimeout: time.Minute}
	go func() { _ = server.Serve(mutable) }()
	return mutable, nil
}

// Accept returns the next connection.
func (l *mutableListener) Accept() (net.Conn, error) {
	conn, err := l.Listener.Accept()
	if err != nil {
		return nil, err
	}
	one := &mutableConn{Conn: conn, listener: l, silent: make(chan struct{})}
	l.mu.Lock()
	defer l.mu.Unlock()
	l.open[one] = true
	return one, nil
}

// mute makes all open connections silent for good and returns how many there were.
func (l *mutableListener) mute() int {
	l.mu.Lock()
	defer l.mu.Unlock()
	count := len(l.open)
	for one := range l.open {
		close(one.silent)
		delete(l.open, one)
	}
	return count
}

// mutableConn is one connection of a mutableListener.
type mutableConn struct {
	net.Conn
	listener *mutableListener
	silent   chan struct{} // closed once the connection is silent
}

func (c *mutableConn) isSilent() bool {
	select {
	case <-c.silent:
		return true
	default:
		return false
	}
}

// Read reads from the connection. Once that is silent, it drops what arrives until the peer closes.
func (c *mutableConn) Read(into []byte) (int, error) {
	for {
		count, err := c.Conn.Read(into)
		if err != nil || !c.isSilent() {
			return count, err
		}
	}
}

// Write writes to the connection, or drops the bytes if it is silent.
func (c *mutableConn) Write(from []byte) (int, error) {
	if c.isSilent() {
		return len(from), nil
	}
	return c.Conn.Write(from)
}

// Close closes the connection. A silent one stays open until the peer closes it.
func (c *mutableConn) Close() error {
	if c.isSilent() {
		go func() {
			var drop [512]byte
			for {
				if _, err := c.Conn.Read(drop[:]); err != nil {
					_ = c.Conn.Close()
					return
				}
			}
		}()
		return nil
	}
	c.listener.mu.Lock()
	delete(c.listener.open, c)
	c.listener.mu.Unlock()
	return c.Conn.Close()
}
