// Package admin implements the operators' API, which is defined in design/.
package admin
