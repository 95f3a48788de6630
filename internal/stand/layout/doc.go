// Package layout generates the settings, configuration and upstreams of a small test system on loopback addresses.
package layout
