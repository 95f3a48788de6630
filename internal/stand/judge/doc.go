// Package judge verifies the report of a load run against the upstreams' logs.
package judge
