// Package entry assembles the components of an entry host, and starts and stops them in order.
package entry
