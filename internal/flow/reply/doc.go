// Package reply checks the replies of upstreams and passes on only complete answers to the right job.
package reply
