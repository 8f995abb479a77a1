package network

import (
	"net"
	"syscall"

	"golang.org/x/sys/unix"
)

// HasUnread reports whether a connection has bytes that were received and not read, also after its
// read deadline. The result is false for connections without a socket, which are not checked.
func HasUnread(c net.Conn) bool {
	s, ok := c.(syscall.Conn)
	if !ok {
		return false
	}
	raw, err := s.SyscallConn()
	if err != nil {
		return false
	}
	unread := 0
	err = raw.Control(func(fd uintptr) {
		var buf [1]byte
		// An error means that there are no bytes.
		unread, _, _ = unix.Recvfrom(int(fd), buf[:], unix.MSG_PEEK|unix.MSG_DONTWAIT)
	})
	return err == nil && unread > 0
}

// Ended reports whether the other side has closed a connection whose received bytes were all read, also if no reader has found
// out yet. The result is false for connections without a socket, which are not checked.
func Ended(c net.Conn) bool {
	s, ok := c.(syscall.Conn)
	if !ok {
		return false
	}
	raw, err := s.SyscallConn()
	if err != nil {
		return true
	}
	received := 0
	var peekErr error
	err = raw.Control(func(fd uintptr) {
		var buf [1]byte
		received, _, peekErr = unix.Recvfrom(int(fd), buf[:], unix.MSG_PEEK|unix.MSG_DONTWAIT)
	})
	open := peekErr == unix.EAGAIN || peekErr == unix.EINTR || peekErr == nil && received > 0
	return err != nil || !open
}
