package network

import (
	"net"
	"syscall"
	"time"

	"github.com/rotisserie/eris"
	"golang.org/x/sys/unix"
)

const (
	// silenceLimit is how long sent bytes may stay unacknowledged before the
	// connection breaks. Three retransmissions fit in it on links of up to 35 ms
	// one way, so that single lost packets break nothing.
	silenceLimit = 1200 * time.Millisecond
	// keepAliveIdle, keepAliveInterval and keepAliveCount find a silent end of
	// a resting connection within two seconds.
	keepAliveIdle     = time.Second
	keepAliveInterval = time.Second
	keepAliveCount    = 2
)

func limitSilence(c syscall.RawConn) error {
	var failed error
	err := c.Control(func(fd uintptr) {
		failed = unix.SetsockoptInt(int(fd), unix.IPPROTO_TCP, unix.TCP_USER_TIMEOUT, int(silenceLimit.Milliseconds()))
	})
	if err == nil {
		err = failed
	}
	return eris.Wrap(err, "network: limit silence")
}

// IsQuiet reports whether a resting connection is still open and nothing has
// arrived on it. It takes no byte. Connections that are no sockets are quiet.
func IsQuiet(c net.Conn) bool {
	socket, ok := c.(syscall.Conn)
	if !ok {
		return true
	}
	raw, err := socket.SyscallConn()
	if err != nil {
		return false
	}
	quiet := false
	err = raw.Read(func(fd uintptr) bool {
		var one [1]byte
		_, _, failed := unix.Recvfrom(int(fd), one[:], unix.MSG_PEEK|unix.MSG_DONTWAIT)
		quiet = failed == unix.EAGAIN
		return true
	})
	return err == nil && quiet
}
