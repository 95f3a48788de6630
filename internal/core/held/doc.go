// Package held counts the bytes that a host holds for its callers' requests against one limit.
package held
