// Package ident sets the ID of a job and the hashes that identify its caller and content.
package ident
