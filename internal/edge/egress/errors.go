package egress

import "github.com/joomcode/errorx"

// Errors is the namespace of this package's errors.
var Errors = errorx.NewNamespace("egress")

// Types of error.
var (
	// ErrRequest marks a job that can't be turned into an HTTP request.
	ErrRequest = Errors.NewType("request")
	// ErrConnection marks a connection that could not be opened or that broke.
	ErrConnection = Errors.NewType("connection")
)
