// Package place assigns jobs to upstreams. It tracks the load and health of each upstream as seen by this host,
// selects one for each job, and queues jobs by rank while none has a free slot.
package place
