// Package quota keeps the jobs of a workspace that all hosts run together within the workspace's limit.
//
// One host of the fleet, the owner, holds a Ledger with a token bucket for each workspace. Each host that places jobs holds a
// Wallet for each of its pools with tokens on lease from the owner. The limit accrues in parts, one for each failure domain, and
// only at the ledger to which the first host of the domain reports, so that the ledgers of a divided fleet never grant more than
// the limit together.
package quota
