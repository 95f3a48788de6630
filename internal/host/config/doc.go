// Package config reads and validates an entry host's settings file, which is JSON with comments.
package config
