// Package policy holds the operators' routing policy: which service answers which requests, within which bounds.
package policy
