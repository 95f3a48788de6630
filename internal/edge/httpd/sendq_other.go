//go:build !linux

package httpd

import "net"

// unacknowledged reports that the number of unacknowledged bytes is unknown.
func unacknowledged(net.Conn) (n int, ok bool) { return 0, false }
