// Package policy defines the operators' routing policy: the routes, services and limits of requests.
package policy
