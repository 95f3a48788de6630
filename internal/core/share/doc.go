// Package share divides a limit among holders such that the sum of their shares never exceeds it.
//
// Each seat in the configuration has a floor, a permanent share that it may use without contacting other hosts. The
// rest of the limit is the pool. One lender in each failure domain lends from it for a bounded time, and only while the
// lender's own lease from the platform is valid.
package share
