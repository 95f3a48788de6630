// Package state implements the control state machine of an entry host and derives routing plans from it.
//
// State transitions depend only on the state, the event and the current time. They perform no I/O:
// they return actions for the host to execute, whose results come back as further events.
package state
