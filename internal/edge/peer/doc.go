// Package peer implements the protocol between entry hosts: JSON-RPC 2.0 in length-prefixed frames over TCP.
package peer
