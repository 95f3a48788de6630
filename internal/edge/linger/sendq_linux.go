package linger

import (
	"net"
	"syscall"

	"golang.org/x/sys/unix"
)

// Unacknowledged returns the number of bytes that were written to a connection and that the peer's kernel has not acknowledged
// yet; the end of the stream counts as one. It returns false if the number is unknown.
func Unacknowledged(c net.Conn) (n int, ok bool) {
	sc, isSocket := c.(syscall.Conn)
	if !isSocket {
		return 0, false
	}
	raw, err := sc.SyscallConn()
	if err != nil {
		return 0, false
	}
	if ctlErr := raw.Control(func(fd uintptr) { n, err = unix.IoctlGetInt(int(fd), unix.TIOCOUTQ) }); ctlErr != nil || err != nil {
		return 0, false
	}
	return n, true
}
