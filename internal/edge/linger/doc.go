// Package linger closes connections so that what was written before the close reaches the peer.
package linger
