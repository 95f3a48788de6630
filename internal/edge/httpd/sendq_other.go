//go:build !linux

package httpd

import "net"

// undelivered reports that the number of undelivered bytes is unknown.
func undelivered(net.Conn) (n int, ok bool) { return 0, false }
