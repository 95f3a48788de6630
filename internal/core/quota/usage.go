package quota

import "time"

// Usage counts the jobs of a workspace since the last call of Wallet.TakeUsage.
type Usage struct {
	Admitted int
	Refused  int
	Debt     int // At present.
}

// State is a wallet's state for one workspace, for logs.
type State struct {
	Balance int           // Tokens in reserve; negative for debt.
	Age     time.Duration // Time since the last reply of the owner; 0 if there was none.
	Version uint64        // Of the policy.
}

// State returns the state for one workspace.
func (w *Wallet) State(now time.Time, workspace string) State {
	s := State{Version: w.terms.Version}
	if a := w.accounts[workspace]; a != nil {
		s.Balance = a.balance
	}
	if !w.appliedAt.IsZero() {
		s.Age = now.Sub(w.appliedAt)
	}
	return s
}

// TakeUsage adds the usage since the last call to a map, by workspace.
func (w *Wallet) TakeUsage(sum map[string]Usage) {
	for name, a := range w.accounts {
		a.usage.Debt = max(0, -a.balance)
		if a.usage != (Usage{}) {
			u := sum[name]
			sum[name] = Usage{Admitted: u.Admitted + a.usage.Admitted, Refused: u.Refused + a.usage.Refused, Debt: u.Debt + a.usage.Debt}
		}
		a.usage = Usage{}
	}
}
