package dedup

import "github.com/joomcode/errorx"

// Errors is the namespace of this package's errors.
var Errors = errorx.NewNamespace("once")

// ErrTicket is the type of the error for a malformed ticket.
var ErrTicket = Errors.NewType("ticket")
