package exchange

import (
	"net"

	"golang.org/x/sys/unix"
)

// idleAndOpen reports whether an idle connection is open and has no unread data. An idle
// connection on which the server has sent data or closed its side cannot be reused. The
// result is true for connections other than TCP, which are not checked.
func idleAndOpen(c net.Conn) bool {
	tcp, ok := c.(*net.TCPConn)
	if !ok {
		return true
	}
	raw, err := tcp.SyscallConn()
	if err != nil {
		return false
	}
	var peekErr error
	err = raw.Control(func(fd uintptr) {
		var buf [1]byte
		_, _, peekErr = unix.Recvfrom(int(fd), buf[:], unix.MSG_PEEK|unix.MSG_DONTWAIT)
	})
	return err == nil && (peekErr == unix.EAGAIN || peekErr == unix.EWOULDBLOCK)
}
