package memnet

import (
	"context"
	"net"
	"sync"
)

// maxChunkBytes bounds the bytes that a link forwards at once.
const maxChunkBytes = 64 << 10

// listener is a listening TCP port. It implements net.Listener.
type listener struct {
	network *Net
	address string
	backlog chan net.Conn
	once    sync.Once
	closed  chan struct{}
}

// Accept implements net.Listener.
func (l *listener) Accept() (net.Conn, error) {
	select {
	case c := <-l.backlog:
		return c, nil
	case <-l.closed:
		return nil, net.ErrClosed
	}
}

// Close implements net.Listener.
func (l *listener) Close() error {
	l.once.Do(func() {
		close(l.closed)
		l.network.mu.Lock()
		defer l.network.mu.Unlock()
		if l.network.listeners[l.address] == l {
			delete(l.network.listeners, l.address)
		}
	})
	return nil
}

// Addr returns the IP and port that the listener is bound to.
func (l *listener) Addr() net.Addr { return address(l.address) }

// address is an IP:port pair. It implements net.Addr.
type address string

// Network implements net.Addr.
func (address) Network() string { return "mem" }

// String implements net.Addr.
func (a address) String() string { return string(a) }

// link is the network path of one connection between two hosts. Each endpoint is
// connected to the link by a pipe, and one goroutine for each direction forwards
// bytes between the two pipes.
type link struct {
	network  *Net
	from, to string
	ends     [2]net.Conn // the link's sides of the two pipes
	once     sync.Once
	ctx      context.Context
	cancel   context.CancelFunc
}

// connect creates a connection between two hosts and returns its endpoints.
func (n *Net) connect(from, to string) (client, server net.Conn) {
	client, clientSide := net.Pipe()
	server, serverSide := net.Pipe()
	ctx, cancel := context.WithCancel(context.Background())
	l := &link{network: n, from: from, to: to, ends: [2]net.Conn{clientSide, serverSide}, ctx: ctx, cancel: cancel}
	n.mu.Lock()
	n.links[l] = struct{}{}
	n.mu.Unlock()
	go l.forward(clientSide, serverSide, from, to)
	go l.forward(serverSide, clientSide, to, from)
	return connWithRemote{client, hostAddress(to)}, connWithRemote{server, hostAddress(from)}
}

// connWithRemote is a connection that returns the peer's IP as remote address.
type connWithRemote struct {
	net.Conn
	remote address
}

// RemoteAddr implements net.Conn.
func (c connWithRemote) RemoteAddr() net.Addr { return c.remote }

// hostAddress returns the remote address for a host's connections. Its port is 0,
// since no caller uses the port.
func hostAddress(ip string) address { return address(net.JoinHostPort(ip, "0")) }

// forward copies bytes from source to target with the network's latency, and
// stalls while the hosts are partitioned. It closes the link when either end
// fails.
func (l *link) forward(source, target net.Conn, from, to string) {
	defer l.Close()
	buffer := make([]byte, maxChunkBytes)
	for {
		n, err := source.Read(buffer)
		if err != nil {
			return
		}
		if sleep(l.ctx, l.network.latency) != nil || l.network.awaitReachable(l.ctx, from, to) != nil {
			return
		}
		if _, err := target.Write(buffer[:n]); err != nil {
			return
		}
	}
}

// Close closes the connection at both ends.
func (l *link) Close() error {
	l.once.Do(func() {
		l.cancel()
		_ = l.ends[0].Close()
		_ = l.ends[1].Close()
		l.network.mu.Lock()
		defer l.network.mu.Unlock()
		delete(l.network.links, l)
	})
	return nil
}
