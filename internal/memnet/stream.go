package memnet

import (
	"context"
	"net"
	"sync"
)

// chunkBytes is the most that one step along a link carries.
const chunkBytes = 64 << 10

// listener is an open TCP port.
type listener struct {
	net     *Net
	address string
	queue   chan net.Conn
	once    sync.Once
	closed  chan struct{}
}

// Accept implements net.Listener.
func (l *listener) Accept() (net.Conn, error) {
	select {
	case c := <-l.queue:
		return c, nil
	case <-l.closed:
		return nil, net.ErrClosed
	}
}

// Close implements net.Listener.
func (l *listener) Close() error {
	l.once.Do(func() {
		close(l.closed)
		l.net.mu.Lock()
		defer l.net.mu.Unlock()
		if l.net.listeners[l.address] == l {
			delete(l.net.listeners, l.address)
		}
	})
	return nil
}

// Addr implements net.Listener.
func (l *listener) Addr() net.Addr { return address(l.address) }

// address is an IP:port.
type address string

// Network implements net.Addr.
func (address) Network() string { return "mem" }

// String implements net.Addr.
func (a address) String() string { return string(a) }

// link is the path of one connection between two hosts: two pipes with a pump
// for each direction between them.
type link struct {
	net      *Net
	from, to string
	ends     [2]net.Conn
	once     sync.Once
	ctx      context.Context
	cancel   context.CancelFunc
}

// connect makes a connection and returns its two ends.
func (n *Net) connect(from, to string) (near, far net.Conn) {
	near, nearInside := net.Pipe()
	far, farInside := net.Pipe()
	ctx, cancel := context.WithCancel(context.Background())
	l := &link{net: n, from: from, to: to, ends: [2]net.Conn{nearInside, farInside}, ctx: ctx, cancel: cancel}
	n.mu.Lock()
	n.links[l] = struct{}{}
	n.mu.Unlock()
	go l.pump(nearInside, farInside, from, to)
	go l.pump(farInside, nearInside, to, from)
	return addressed{near, portless(to)}, addressed{far, portless(from)}
}

// addressed is a connection that knows which host is at its other end.
type addressed struct {
	net.Conn
	remote address
}

// RemoteAddr implements net.Conn.
func (c addressed) RemoteAddr() net.Addr { return c.remote }

// portless is a host's address on a connection, whose port nobody asks for.
func portless(ip string) address { return address(net.JoinHostPort(ip, "0")) }

// pump carries bytes one way, with the network's latency, and stalls while the
// way is cut.
func (l *link) pump(out, in net.Conn, from, to string) {
	defer l.Close()
	buffer := make([]byte, chunkBytes)
	for {
		n, err := out.Read(buffer)
		if err != nil {
			return
		}
		if sleep(l.ctx, l.net.latency) != nil || l.net.pass(l.ctx, from, to) != nil {
			return
		}
		if _, err := in.Write(buffer[:n]); err != nil {
			return
		}
	}
}

// Close ends the connection at both ends.
func (l *link) Close() error {
	l.once.Do(func() {
		l.cancel()
		_ = l.ends[0].Close()
		_ = l.ends[1].Close()
		l.net.mu.Lock()
		defer l.net.mu.Unlock()
		delete(l.net.links, l)
	})
	return nil
}
