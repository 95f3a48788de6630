// Package relay sends an admitted job to its upstream.
package relay
