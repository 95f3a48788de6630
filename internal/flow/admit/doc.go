// Package admit queues jobs by rank and admits them to the upstreams of this host's failure domain.
package admit
