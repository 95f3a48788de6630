// Package httpd serves callers over HTTP/1.1. Unlike net/http's server it runs pipelined requests concurrently, responds
// in the order of the requests, and takes its limits from the policy in force.
package httpd
