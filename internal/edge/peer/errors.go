package peer

import "github.com/joomcode/errorx"

// Errors is the namespace of this package's errors.
var Errors = errorx.NewNamespace("peer")

// Types of error.
var (
	// ErrFrame marks a message that violates the protocol.
	ErrFrame = Errors.NewType("frame")
	// ErrDown means that a host can't be reached and nothing was sent.
	ErrDown = Errors.NewType("down")
	// ErrLost means that the connection broke or the call timed out after something may have been sent.
	ErrLost = Errors.NewType("lost")
	// ErrRefused marks an error response of the other host.
	ErrRefused = Errors.NewType("refused")
)
