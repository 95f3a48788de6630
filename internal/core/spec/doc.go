// Package spec defines the operators' configuration document, its changes and its validation.
package spec
