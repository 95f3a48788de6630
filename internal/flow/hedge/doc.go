// Package hedge decides, from the recent times of a service's runs, after which time a second attempt of a job pays off.
package hedge
