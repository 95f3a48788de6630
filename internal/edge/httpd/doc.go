// Package httpd serves callers over HTTP/1.1. Unlike the library's server it works on pipelined requests at the
// same time, answers them in order, and takes its bounds from the policy in force.
package httpd
