package spec

import "github.com/joomcode/errorx"

// Errors is the namespace of this package's errors.
var Errors = errorx.NewNamespace("spec")

// Error types of this package.
var (
	// ErrFormat is returned for a value that can't be parsed.
	ErrFormat = Errors.NewType("format")
	// ErrInvalid is returned for a document that violates one or more rules.
	ErrInvalid = Errors.NewType("invalid")
	// ErrMissing is returned for a change that refers to an item or a revision that does not exist.
	ErrMissing = Errors.NewType("missing")
)
