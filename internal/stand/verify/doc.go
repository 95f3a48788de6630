// Package verify verifies the report of a load run against the upstreams' logs.
package verify
