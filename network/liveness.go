package network

import (
	"net"
	"syscall"
	"time"

	"github.com/rotisserie/eris"
	"golang.org/x/sys/unix"
)

const (
	// userTimeout is the TCP_USER_TIMEOUT: how long sent bytes can stay
	// unacknowledged before the connection is closed. It leaves room for three
	// retransmissions on links with a one-way delay of up to 35 ms, so that
	// isolated packet loss does not close a connection.
	userTimeout = 1200 * time.Millisecond
	// keepAliveIdle, keepAliveInterval and keepAliveCount detect an unresponsive
	// peer on an idle connection within two seconds.
	keepAliveIdle     = time.Second
	keepAliveInterval = time.Second
	keepAliveCount    = 2
)

func setUserTimeout(c syscall.RawConn) error {
	var sockoptErr error
	err := c.Control(func(fd uintptr) {
		sockoptErr = unix.SetsockoptInt(int(fd), unix.IPPROTO_TCP, unix.TCP_USER_TIMEOUT, int(userTimeout.Milliseconds()))
	})
	if err == nil {
		err = sockoptErr
	}
	return eris.Wrap(err, "network: set TCP_USER_TIMEOUT")
}

// IsReusable reports whether an idle connection is still open and has no unread
// bytes, so that it can be reused for another request. It peeks and consumes
// nothing. It returns true for a connection that does not expose its socket.
func IsReusable(c net.Conn) bool {
	socket, ok := c.(syscall.Conn)
	if !ok {
		return true
	}
	raw, err := socket.SyscallConn()
	if err != nil {
		return false
	}
	reusable := false
	err = raw.Read(func(fd uintptr) bool {
		var peeked [1]byte
		_, _, recvErr := unix.Recvfrom(int(fd), peeked[:], unix.MSG_PEEK|unix.MSG_DONTWAIT)
		reusable = recvErr == unix.EAGAIN
		return true
	})
	return err == nil && reusable
}

// tcpCloseWait is TCP_CLOSE_WAIT of the kernel's connection states: the other side
// has sent FIN, and no reset has followed.
const tcpCloseWait = 8

// ClosedInOrder reports whether a connection whose reads have ended was closed in
// order by the other side and not reset. The end of the reads alone does not tell: a
// write in progress takes the error of a reset, and the next read returns io.EOF. It
// returns true for a connection that does not expose its socket or its state.
func ClosedInOrder(c net.Conn) bool {
	socket, ok := c.(syscall.Conn)
	if !ok {
		return true
	}
	raw, err := socket.SyscallConn()
	if err != nil {
		return false
	}
	inOrder := false
	err = raw.Control(func(fd uintptr) {
		info, infoErr := unix.GetsockoptTCPInfo(int(fd), unix.IPPROTO_TCP, unix.TCP_INFO)
		inOrder = infoErr != nil || info.State == 0 || info.State == tcpCloseWait
	})
	return err == nil && inOrder
}

// ResetOnClose sets whether the end of a connection is a reset instead of an orderly
// close, also if the process ends. It does nothing for a connection that does not
// support it.
func ResetOnClose(c net.Conn, reset bool) {
	socket, ok := c.(interface{ SetLinger(seconds int) error })
	if !ok {
		return
	}
	seconds := -1 // the default of the operating system
	if reset {
		seconds = 0
	}
	_ = socket.SetLinger(seconds) // fails only if the connection is closed
}

// PeerHasClosed reports whether the other side has closed a connection, or its
// sending direction, also if bytes before the close are unread. It consumes
// nothing. It returns false for a connection that does not expose its socket.
func PeerHasClosed(c net.Conn) bool {
	socket, ok := c.(syscall.Conn)
	if !ok {
		return false
	}
	raw, err := socket.SyscallConn()
	if err != nil {
		return false
	}
	closed := false
	err = raw.Control(func(fd uintptr) {
		fds := []unix.PollFd{{Fd: int32(fd), Events: unix.POLLRDHUP}}
		n, pollErr := unix.Poll(fds, 0)
		closed = pollErr == nil && n > 0 && fds[0].Revents&(unix.POLLRDHUP|unix.POLLHUP|unix.POLLERR) != 0
	})
	return err == nil && closed
}
