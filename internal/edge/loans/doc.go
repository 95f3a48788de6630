// Package loans carries hosts' demand to the host that splits the slots, and their shares back, over JSON-RPC.
package loans
