package memnet

import (
	"net"
	"os"
	"sync"
	"time"
)

// queueLength is the datagrams that a port holds; more are dropped.
const queueLength = 4096

// packet is one datagram.
type packet struct {
	from address
	data []byte
}

// packetConn is an open UDP port.
type packetConn struct {
	net     *Net
	address string
	queue   chan packet
	once    sync.Once
	closed  chan struct{}

	mu       sync.Mutex
	deadline time.Time
}

// ListenPacket implements network.Network; the IP in address is ignored.
func (h *Host) ListenPacket(address string) (net.PacketConn, error) {
	h.net.mu.Lock()
	defer h.net.mu.Unlock()
	p := &packetConn{
		net:     h.net,
		address: h.net.claim(h.ip, address),
		queue:   make(chan packet, queueLength),
		closed:  make(chan struct{}),
	}
	h.net.packets[p.address] = p
	return p, nil
}

// ReadFrom implements net.PacketConn. A deadline counts from the call's start.
func (p *packetConn) ReadFrom(b []byte) (int, net.Addr, error) {
	timeout, stop := p.timeout()
	defer stop()
	select {
	case d := <-p.queue:
		return copy(b, d.data), d.from, nil
	case <-p.closed:
		return 0, nil, net.ErrClosed
	case <-timeout:
		return 0, nil, os.ErrDeadlineExceeded
	}
}

func (p *packetConn) timeout() (<-chan time.Time, func()) {
	p.mu.Lock()
	deadline := p.deadline
	p.mu.Unlock()
	if deadline.IsZero() {
		return nil, func() {}
	}
	timer := time.NewTimer(time.Until(deadline))
	return timer.C, func() { timer.Stop() }
}

// WriteTo implements net.PacketConn. A datagram that is lost is no error.
func (p *packetConn) WriteTo(b []byte, to net.Addr) (int, error) {
	select {
	case <-p.closed:
		return 0, net.ErrClosed
	default:
	}
	if p.net.loses(hostOf(p.address), hostOf(to.String())) {
		return len(b), nil
	}
	d := packet{from: address(p.address), data: append([]byte(nil), b...)}
	target := to.String()
	time.AfterFunc(p.net.latency, func() { p.net.deliver(target, d) })
	return len(b), nil
}

// loses draws whether a datagram between two hosts vanishes.
func (n *Net) loses(from, to string) bool {
	n.mu.Lock()
	defer n.mu.Unlock()
	return n.cut(from, to) || n.random.Float64() < n.loss
}

func (n *Net) deliver(target string, d packet) {
	n.mu.Lock()
	p, found := n.packets[target]
	n.mu.Unlock()
	if !found {
		return
	}
	select {
	case p.queue <- d:
	default:
	}
}

// Close implements net.PacketConn.
func (p *packetConn) Close() error {
	p.once.Do(func() {
		close(p.closed)
		p.net.mu.Lock()
		defer p.net.mu.Unlock()
		if p.net.packets[p.address] == p {
			delete(p.net.packets, p.address)
		}
	})
	return nil
}

// LocalAddr implements net.PacketConn.
func (p *packetConn) LocalAddr() net.Addr { return address(p.address) }

// SetDeadline implements net.PacketConn.
func (p *packetConn) SetDeadline(t time.Time) error { return p.SetReadDeadline(t) }

// SetReadDeadline implements net.PacketConn.
func (p *packetConn) SetReadDeadline(t time.Time) error {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.deadline = t
	return nil
}

// SetWriteDeadline implements net.PacketConn; writes never wait.
func (p *packetConn) SetWriteDeadline(time.Time) error { return nil }
