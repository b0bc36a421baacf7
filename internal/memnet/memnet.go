// Package memnet is a network in memory, for tests inside a synctest bubble:
// hosts with IP numbers, latency, loss of datagrams, cuts between hosts, and
// hosts that die. Time in it is the bubble's.
//
// A cut behaves as a partition does: connections across it stall and go on
// when it heals, new ones are not made, datagrams vanish.
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

// errRefused is what dialling a port finds that nobody listens on.
var errRefused = eris.New("connection refused")

// Net is the network. It is safe for concurrent use.
type Net struct {
	latency time.Duration

	mu        sync.Mutex
	random    *rand.Rand
	loss      float64
	cut       func(from, to string) bool
	changed   chan struct{} // closed and replaced when cut changes
	nextPort  uint16
	listeners map[string]*listener
	packets   map[string]*packetConn
	links     map[*link]struct{}
}

// New returns a network whose links take latency one way. Loss is drawn by
// seed.
func New(latency time.Duration, seed uint64) *Net {
	return &Net{
		latency:   latency,
		random:    rand.New(rand.NewPCG(seed, 0)),
		cut:       func(string, string) bool { return false },
		changed:   make(chan struct{}),
		nextPort:  1024,
		listeners: make(map[string]*listener),
		packets:   make(map[string]*packetConn),
		links:     make(map[*link]struct{}),
	}
}

// SetCut says which hosts, by IP, cannot send to which others; nil heals all.
func (n *Net) SetCut(cut func(from, to string) bool) {
	if cut == nil {
		cut = func(string, string) bool { return false }
	}
	n.mu.Lock()
	defer n.mu.Unlock()
	n.cut = cut
	close(n.changed)
	n.changed = make(chan struct{})
}

// SetLoss sets the share of datagrams that vanish, 0 to 1.
func (n *Net) SetLoss(share float64) {
	n.mu.Lock()
	defer n.mu.Unlock()
	n.loss = share
}

// Kill ends every connection and port of a host, as its death does.
func (n *Net) Kill(ip string) {
	n.mu.Lock()
	var closers []interface{ Close() error }
	for address, l := range n.listeners {
		if hostOf(address) == ip {
			closers = append(closers, l)
		}
	}
	for address, p := range n.packets {
		if hostOf(address) == ip {
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
		// Closing twice is no fault.
		_ = c.Close()
	}
}

// Host returns the network as seen from the host with that IP. It implements
// network.Network.
func (n *Net) Host(ip string) *Host { return &Host{net: n, ip: ip} }

// Host is one host's view of a Net.
type Host struct {
	net *Net
	ip  string
}

// Listen implements network.Network; the IP in address is ignored.
func (h *Host) Listen(address string) (net.Listener, error) {
	h.net.mu.Lock()
	defer h.net.mu.Unlock()
	l := &listener{net: h.net, address: h.net.claim(h.ip, address), queue: make(chan net.Conn), closed: make(chan struct{})}
	if _, taken := h.net.listeners[l.address]; taken {
		return nil, eris.Errorf("memnet: %s is in use", l.address)
	}
	h.net.listeners[l.address] = l
	return l, nil
}

// claim returns the IP with the port of address, or a new one for port 0. The
// caller holds n.mu.
func (n *Net) claim(ip, address string) string {
	_, port, _ := net.SplitHostPort(address)
	if port == "0" || port == "" {
		n.nextPort++
		return netip.AddrPortFrom(netip.MustParseAddr(ip), n.nextPort).String()
	}
	return net.JoinHostPort(ip, port)
}

// DialContext implements network.Network.
func (h *Host) DialContext(ctx context.Context, _, address string) (net.Conn, error) {
	conn, err := h.dial(ctx, address)
	if err != nil {
		return nil, &net.OpError{Op: "dial", Net: "tcp", Err: err}
	}
	return conn, nil
}

func (h *Host) dial(ctx context.Context, address string) (net.Conn, error) {
	to := hostOf(address)
	if err := h.net.pass(ctx, h.ip, to); err != nil {
		return nil, err
	}
	if err := sleep(ctx, 2*h.net.latency); err != nil {
		return nil, err
	}
	h.net.mu.Lock()
	l, found := h.net.listeners[address]
	h.net.mu.Unlock()
	if !found {
		return nil, errRefused
	}
	near, far := h.net.connect(h.ip, to)
	select {
	case l.queue <- far:
		return near, nil
	case <-l.closed:
		near.Close()
		far.Close()
		return nil, errRefused
	case <-ctx.Done():
		near.Close()
		far.Close()
		return nil, ctx.Err()
	}
}

// pass waits until nothing is cut between two hosts, either way.
func (n *Net) pass(ctx context.Context, from, to string) error {
	for {
		n.mu.Lock()
		blocked := n.cut(from, to) || n.cut(to, from)
		changed := n.changed
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

func hostOf(address string) string {
	host, _, _ := net.SplitHostPort(address)
	return host
}
