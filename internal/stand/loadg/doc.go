// Package loadg is an open-loop load generator: callers of several ranks look up hosts, cache the answers, send jobs at
// a rate that does not depend on the responses, and resend jobs without an answer.
package loadg
