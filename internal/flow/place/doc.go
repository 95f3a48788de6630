// Package place admits jobs to upstreams: it keeps this host's picture of their load and health, picks one for
// each job, and lets jobs wait by rank while none has a free slot.
package place
