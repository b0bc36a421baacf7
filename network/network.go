// Package network is how a process reaches others: listeners, connections and
// datagrams by IP numbers. Daemons use System; tests put a network of their
// own in its place, one that they can cut.
package network

import (
	"context"
	"net"
	"syscall"

	"github.com/rotisserie/eris"
)

// Network opens ports and connections. It is safe for concurrent use.
type Network interface {
	// Listen opens a TCP port; address is IP:port, port 0 picks one.
	Listen(address string) (net.Listener, error)
	// ListenPacket opens a UDP port; address is IP:port, port 0 picks one.
	ListenPacket(address string) (net.PacketConn, error)
	// DialContext opens a TCP connection; network is "tcp". An error that is a
	// *net.OpError with Op "dial" says that no byte was sent.
	DialContext(ctx context.Context, network, address string) (net.Conn, error)
}

// System is the network of the host.
type System struct{}

// Listen implements Network.
func (System) Listen(address string) (net.Listener, error) {
	l, err := net.Listen("tcp", address)
	return l, eris.Wrap(err, "network: listen")
}

// ListenPacket implements Network.
func (System) ListenPacket(address string) (net.PacketConn, error) {
	c, err := net.ListenPacket("udp", address)
	return c, eris.Wrap(err, "network: listen for datagrams")
}

// DialContext implements Network. A connection whose other end falls silent
// breaks after silenceLimit with bytes unacknowledged, and a resting one after
// its keep-alive probes: neither would show otherwise until the kernel gives up
// after minutes.
func (System) DialContext(ctx context.Context, network, address string) (net.Conn, error) {
	dialer := net.Dialer{
		KeepAliveConfig: net.KeepAliveConfig{
			Enable: true, Idle: keepAliveIdle, Interval: keepAliveInterval, Count: keepAliveCount,
		},
		Control: func(_, _ string, c syscall.RawConn) error { return limitSilence(c) },
	}
	return dialer.DialContext(ctx, network, address)
}
