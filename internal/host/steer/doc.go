// Package steer assembles and runs an entry host on a platform: the filters, the control loop and the servers.
package steer
