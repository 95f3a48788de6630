// Package halt decides which jobs a host still accepts during a planned stop, and until when they may wait.
package halt
