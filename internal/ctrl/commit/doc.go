// Package commit stores operators' configuration changes on the platform. Each change is one compare-and-swap; if its
// answer is lost, the document is read again to find out whether the change took effect.
package commit
