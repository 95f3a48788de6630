// Package loans plans loans of upstreams between regions by demand. It is pure: equal inputs give equal plans.
package loans
