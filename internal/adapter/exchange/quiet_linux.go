package exchange

import (
	"net"

	"golang.org/x/sys/unix"
)

// idleAndOpen tells whether an idle connection is open and has nothing to read. A byte or
// an end that the server sent on an idle connection makes it unfit for a request.
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
