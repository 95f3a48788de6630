//go:build !linux

package linger

import "net"

// Unacknowledged reports that the number of unacknowledged bytes is unknown.
func Unacknowledged(net.Conn) (n int, ok bool) { return 0, false }
