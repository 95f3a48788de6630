// Package lines writes structured logs: JSON lines of bounded volume that never block the writer.
package lines
