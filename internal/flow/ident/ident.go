package ident

import (
	"context"
	"time"

	"github.com/cespare/xxhash/v2"

	"github.com/boragelane/boragelane/internal/flow/pipe"
)

// Filter sets the ID and hashes of jobs.
type Filter struct {
	NewID func() string
}

// String returns the filter's name.
func (Filter) String() string { return "ident" }

// Run sets the job's ID if it has none, the hash of its caller and the digest of its content.
func (f Filter) Run(_ context.Context, _ time.Time, job *pipe.Job) {
	if job.ID == "" {
		job.ID = f.NewID()
	}
	job.CallerHash = xxhash.Sum64String(job.Caller)
	job.Digest = Digest(job)
}

// Digest returns a non-cryptographic hash of a job's service, method, path and body.
func Digest(job *pipe.Job) uint64 {
	h := xxhash.New()
	for _, part := range []string{job.Service, job.Method, job.Path} {
		_, _ = h.WriteString(part)
		_, _ = h.Write([]byte{0})
	}
	_, _ = h.Write(job.Body)
	return h.Sum64()
}
