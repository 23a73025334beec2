package replica

import "time"

// Confirmation says that a quorum heard this replica as the leader of a term at a time or later.
type Confirmation struct {
	Term uint64
	At   time.Duration // by boottime
}

// publishConfirmation stores the newest confirmation for other goroutines. It is called before entries are applied, so that a
// leader's lease doesn't wait for them.
func (n *Node) publishConfirmation() {
	term, at, ok := n.core.Confirmed()
	if old := n.confirmation.Load(); ok && (old.Term != term || old.At != at) {
		n.confirmation.Store(&Confirmation{Term: term, At: at})
	}
}

// Confirmation returns the newest confirmation of this replica as leader; zero if there was none.
func (n *Node) Confirmation() Confirmation { return *n.confirmation.Load() }
