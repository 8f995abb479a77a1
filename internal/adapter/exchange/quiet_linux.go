package exchange

import (
	"net"

	"golang.org/x/sys/unix"
)

// quiet tells whether an idle connection is open and has nothing to read. A byte or
// an end that the server sent on an idle connection makes it unfit for a request.
func quiet(c net.Conn) bool {
	tcp, ok := c.(*net.TCPConn)
	if !ok {
		return true
	}
	raw, err := tcp.SyscallConn()
	if err != nil {
		return false
	}
	var peeked error
	err = raw.Control(func(fd uintptr) {
		var one [1]byte
		_, _, peeked = unix.Recvfrom(int(fd), one[:], unix.MSG_PEEK|unix.MSG_DONTWAIT)
	})
	return err == nil && (peeked == unix.EAGAIN || peeked == unix.EWOULDBLOCK)
}
