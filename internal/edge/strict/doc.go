// Package strict checks HTTP/1.1 responses against RFC 9110 and RFC 9112. net/http accepts more, so that callers could get what its sender
// didn't mean as an answer.
package strict
