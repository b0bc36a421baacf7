// Package network opens TCP listeners, TCP connections and UDP sockets by
// IP:port. Daemons use System. Tests substitute an in-memory network whose hosts
// can be partitioned.
package network

import (
	"context"
	"net"
	"syscall"

	"github.com/rotisserie/eris"
)

// Network opens ports and connections. It is safe for concurrent use.
type Network interface {
	// Listen opens a TCP port; address is IP:port, and port 0 picks a free one.
	Listen(address string) (net.Listener, error)
	// ListenPacket opens a UDP port; address is IP:port, and port 0 picks a free
	// one.
	ListenPacket(address string) (net.PacketConn, error)
	// DialContext opens a TCP connection; network is "tcp". A *net.OpError with
	// Op "dial" guarantees that no byte was sent.
	DialContext(ctx context.Context, network, address string) (net.Conn, error)
}

// System is the network of the operating system.
type System struct{}

// Listen implements Network.
func (System) Listen(address string) (net.Listener, error) {
	l, err := net.Listen("tcp", address)
	return l, eris.Wrap(err, "network: open TCP listener")
}

// ListenPacket implements Network.
func (System) ListenPacket(address string) (net.PacketConn, error) {
	c, err := net.ListenPacket("udp", address)
	return c, eris.Wrap(err, "network: open UDP socket")
}

// DialContext implements Network. A connection with unacknowledged bytes is
// closed after userTimeout, and an idle one after its keep-alive probes go
// unanswered. Without these limits the kernel reports an unresponsive peer only
// after minutes.
func (System) DialContext(ctx context.Context, network, address string) (net.Conn, error) {
	dialer := net.Dialer{
		KeepAliveConfig: net.KeepAliveConfig{
			Enable: true, Idle: keepAliveIdle, Interval: keepAliveInterval, Count: keepAliveCount,
		},
		Control: func(_, _ string, c syscall.RawConn) error { return setUserTimeout(c) },
	}
	return dialer.DialContext(ctx, network, address)
}
