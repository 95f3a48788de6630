// Package steer assembles an entry host that serves callers on a platform: the filters, control and the servers.
package steer
