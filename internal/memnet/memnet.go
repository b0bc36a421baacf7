// Package memnet simulates an IP network in memory, for tests inside a synctest
// bubble. It models TCP connections and UDP ports of hosts with latency,
// datagram loss, network partitions and host crashes. Latency is measured on the
// bubble's fake clock.
//
// While two hosts are partitioned, open connections between them stall, dials
// block until the partition heals or their context ends, and datagrams in the
// blocked direction are dropped. A stalled connection resumes without loss when
// the partition heals.
package memnet

import (
	"context"
	"math/rand/v2"
	"net"
	"net/netip"
	"sync"
	"time"

	"github.com/rotisserie/eris"
)

// errRefused is the error of dialing an address without a listener.
var errRefused = eris.New("connection refused")

// Net is a simulated network. It is safe for concurrent use.
type Net struct {
	latency time.Duration // one way

	mu               sync.Mutex
	random           *rand.Rand
	lossRate         float64
	partitioned      func(from, to string) bool
	partitionChanged chan struct{} // closed and replaced when partitioned changes
	nextPort         uint16
	listeners        map[string]*listener
	packetConns      map[string]*packetConn
	links            map[*link]struct{}
}

// New returns a network with the given one-way latency. The seed determines
// which datagrams are lost.
func New(latency time.Duration, seed uint64) *Net {
	return &Net{
		latency:          latency,
		random:           rand.New(rand.NewPCG(seed, 0)),
		partitioned:      func(string, string) bool { return false },
		partitionChanged: make(chan struct{}),
		nextPort:         1024,
		listeners:        make(map[string]*listener),
		packetConns:      make(map[string]*packetConn),
		links:            make(map[*link]struct{}),
	}
}

// SetPartition sets the partition: partitioned reports whether the host with IP
// from cannot send to the host with IP to. Datagrams are blocked in that direction
// only, connections in both. Nil removes the partition. partitioned is called with
// the network's lock held and must not call the network.
func (n *Net) SetPartition(partitioned func(from, to string) bool) {
	if partitioned == nil {
		partitioned = func(string, string) bool { return false }
	}
	n.mu.Lock()
	defer n.mu.Unlock()
	n.partitioned = partitioned
	close(n.partitionChanged)
	n.partitionChanged = make(chan struct{})
}

// SetLossRate sets the ratio of datagrams that are dropped, 0 to 1.
func (n *Net) SetLossRate(rate float64) {
	n.mu.Lock()
	defer n.mu.Unlock()
	n.lossRate = rate
}

// KillHost closes every connection, listener and UDP port of a host, as a crash
// of the host does.
func (n *Net) KillHost(ip string) {
	n.mu.Lock()
	var closers []interface{ Close() error }
	for address, l := range n.listeners {
		if hostIP(address) == ip {
			closers = append(closers, l)
		}
	}
	for address, p := range n.packetConns {
		if hostIP(address) == ip {
			closers = append(closers, p)
		}
	}
	for l := range n.links {
		if l.from == ip || l.to == ip {
			closers = append(closers, l)
		}
	}
	n.mu.Unlock()
	for _, c := range closers {
		// Close is idempotent and always returns nil.
		_ = c.Close()
	}
}

// Host returns the view of the network from the host with the given IP.
func (n *Net) Host(ip string) *Host { return &Host{network: n, ip: ip} }

// Host is one host's view of a Net. It implements network.Network.
type Host struct {
	network *Net
	ip      string
}

// Listen implements network.Network. It uses the host's own IP and ignores the
// one in address; port 0 selects an unused port.
func (h *Host) Listen(address string) (net.Listener, error) {
	h.network.mu.Lock()
	defer h.network.mu.Unlock()
	l := &listener{network: h.network, address: h.network.assignAddress(h.ip, address), backlog: make(chan net.Conn), closed: make(chan struct{})}
	if _, inUse := h.network.listeners[l.address]; inUse {
		return nil, eris.Errorf("memnet: listen on %s: address already in use", l.address)
	}
	h.network.listeners[l.address] = l
	return l, nil
}

// assignAddress joins ip with the port of address; port 0 or a missing port is
// replaced by an unused one. The caller holds n.mu.
func (n *Net) assignAddress(ip, address string) string {
	_, port, _ := net.SplitHostPort(address)
	if port == "0" || port == "" {
		n.nextPort++
		return netip.AddrPortFrom(netip.MustParseAddr(ip), n.nextPort).String()
	}
	return net.JoinHostPort(ip, port)
}

// DialContext implements network.Network. It ignores the network's name and
// takes one round trip; while the hosts are partitioned it blocks until ctx ends.
func (h *Host) DialContext(ctx context.Context, _, address string) (net.Conn, error) {
	conn, err := h.dial(ctx, address)
	if err != nil {
		return nil, &net.OpError{Op: "dial", Net: "tcp", Err: err}
	}
	return conn, nil
}

func (h *Host) dial(ctx context.Context, address string) (net.Conn, error) {
	to := hostIP(address)
	if err := h.network.awaitReachable(ctx, h.ip, to); err != nil {
		return nil, err
	}
	if err := sleep(ctx, 2*h.network.latency); err != nil {
		return nil, err
	}
	h.network.mu.Lock()
	l, found := h.network.listeners[address]
	h.network.mu.Unlock()
	if !found {
		return nil, errRefused
	}
	client, server := h.network.connect(h.ip, to)
	select {
	case l.backlog <- server:
		return client, nil
	case <-l.closed:
		client.Close()
		server.Close()
		return nil, errRefused
	case <-ctx.Done():
		client.Close()
		server.Close()
		return nil, ctx.Err()
	}
}

// awaitReachable blocks until two hosts are not partitioned in either direction,
// or ctx ends.
func (n *Net) awaitReachable(ctx context.Context, from, to string) error {
	for {
		n.mu.Lock()
		blocked := n.partitioned(from, to) || n.partitioned(to, from)
		changed := n.partitionChanged
		n.mu.Unlock()
		if !blocked {
			return nil
		}
		select {
		case <-changed:
		case <-ctx.Done():
			return ctx.Err()
		}
	}
}

func sleep(ctx context.Context, d time.Duration) error {
	timer := time.NewTimer(d)
	defer timer.Stop()
	select {
	case <-timer.C:
		return nil
	case <-ctx.Done():
		return ctx.Err()
	}
}

func hostIP(address string) string {
	host, _, _ := net.SplitHostPort(address)
	return host
}
