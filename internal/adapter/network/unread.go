package network

import (
	"errors"
	"net"
	"syscall"

	"golang.org/x/sys/unix"
)

// errNoSocket reports a connection without a socket.
var errNoSocket = errors.New("connection has no socket")

// peek returns the number of bytes, at most one, that can be read from a connection at once, also after its read deadline.
// Without an error 0 means that the other side has closed it.
func peek(c net.Conn) (int, error) {
	s, ok := c.(syscall.Conn)
	if !ok {
		return 0, errNoSocket
	}
	raw, err := s.SyscallConn()
	if err != nil {
		return 0, err
	}
	received := 0
	var peekErr error
	err = raw.Control(func(fd uintptr) {
		var buf [1]byte
		received, _, peekErr = unix.Recvfrom(int(fd), buf[:], unix.MSG_PEEK|unix.MSG_DONTWAIT)
	})
	if err == nil {
		err = peekErr
	}
	return received, err
}

// HasUnread reports whether a connection has bytes that were received and not read, also after its
// read deadline. The result is false for connections without a socket, which are not checked.
func HasUnread(c net.Conn) bool {
	received, err := peek(c)
	return err == nil && received > 0
}

// Quiet reports whether a connection is open and has no unread bytes. The result is true for connections without a socket,
// which are not checked.
func Quiet(c net.Conn) bool {
	_, err := peek(c)
	return errors.Is(err, unix.EAGAIN) || errors.Is(err, errNoSocket)
}

// Ended reports whether the other side has closed a connection whose received bytes were all read, also if no reader has found
// out yet. The result is false for connections without a socket, which are not checked.
func Ended(c net.Conn) bool {
	received, err := peek(c)
	open := err == nil && received > 0 || errors.Is(err, unix.EAGAIN) || errors.Is(err, unix.EINTR) || errors.Is(err, errNoSocket)
	return !open
}
