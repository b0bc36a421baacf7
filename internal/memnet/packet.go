package memnet

import (
	"net"
	"os"
	"sync"
	"time"
)

// maxQueuedDatagrams bounds the unread datagrams of a port; further ones are
// dropped.
const maxQueuedDatagrams = 4096

type datagram struct {
	from address
	data []byte
}

// packetConn is an open UDP port. It implements net.PacketConn.
type packetConn struct {
	network *Net
	address string
	queue   chan datagram
	once    sync.Once
	closed  chan struct{}

	mu       sync.Mutex
	deadline time.Time // of reads; zero for none
}

// ListenPacket implements network.Network. It uses the host's own IP and
// ignores the one in address; port 0 selects an unused port. A port that is
// already open is replaced and receives no more datagrams.
func (h *Host) ListenPacket(address string) (net.PacketConn, error) {
	h.network.mu.Lock()
	defer h.network.mu.Unlock()
	p := &packetConn{
		network: h.network,
		address: h.network.assignAddress(h.ip, address),
		queue:   make(chan datagram, maxQueuedDatagrams),
		closed:  make(chan struct{}),
	}
	h.network.packetConns[p.address] = p
	return p, nil
}

// ReadFrom implements net.PacketConn. A deadline set during the call does not
// affect it.
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

// WriteTo implements net.PacketConn. It returns no error when the datagram is
// dropped.
func (p *packetConn) WriteTo(b []byte, to net.Addr) (int, error) {
	select {
	case <-p.closed:
		return 0, net.ErrClosed
	default:
	}
	if p.network.dropsDatagram(hostIP(p.address), hostIP(to.String())) {
		return len(b), nil
	}
	d := datagram{from: address(p.address), data: append([]byte(nil), b...)}
	target := to.String()
	time.AfterFunc(p.network.latency, func() { p.network.deliver(target, d) })
	return len(b), nil
}

// dropsDatagram decides at random, by the partition and the loss rate, whether a
// datagram between two hosts is dropped.
func (n *Net) dropsDatagram(from, to string) bool {
	n.mu.Lock()
	defer n.mu.Unlock()
	return n.partitioned(from, to) || n.random.Float64() < n.lossRate
}

func (n *Net) deliver(target string, d datagram) {
	n.mu.Lock()
	p, found := n.packetConns[target]
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
		p.network.mu.Lock()
		defer p.network.mu.Unlock()
		if p.network.packetConns[p.address] == p {
			delete(p.network.packetConns, p.address)
		}
	})
	return nil
}

// LocalAddr implements net.PacketConn.
func (p *packetConn) LocalAddr() net.Addr { return address(p.address) }

// SetDeadline implements net.PacketConn. It applies to reads only.
func (p *packetConn) SetDeadline(t time.Time) error { return p.SetReadDeadline(t) }

// SetReadDeadline implements net.PacketConn.
func (p *packetConn) SetReadDeadline(t time.Time) error {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.deadline = t
	return nil
}

// SetWriteDeadline implements net.PacketConn. It has no effect, since writes
// never block.
func (p *packetConn) SetWriteDeadline(time.Time) error { return nil }
