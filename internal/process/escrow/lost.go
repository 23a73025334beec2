package escrow

import (
	"time"

	laburnumv1 "laburnumrouter/proto/laburnum/v1"
)

// RunningRequests reports how many requests of borrowers that are gone still run, as seen in the announcements of
// backend servers.
type RunningRequests interface {
	// RunningOf returns how many of the owner's requests for workspace run according to announcements made after since.
	// complete is false if a server that may run one has not announced itself after since.
	RunningOf(owner, workspace string, since time.Time) (running int, complete bool)
	// RunningOfEndedProcesses returns the same for all entry processes of the data centre that are no longer alive.
	RunningOfEndedProcesses(workspace string, since time.Time) (running int, complete bool)
	// AllRegistered reports whether every entry of the data centre is alive and is the holder or among the borrowers.
	AllRegistered(borrowers []string) bool
}

// register adds a borrower that is new to this bank. It returns false if the borrower claims permits that this bank
// cannot account for: they may have been lent to others, so the claim is void.
func (b *Bank) register(now time.Time, req *laburnumv1.BorrowRequest) bool {
	if !b.removeEarlierIncarnations(now, req.Borrower, req.Sequence) {
		return false
	}
	entry, incarnation, _ := ParseHolderID(req.Borrower)
	reregistered := b.removed[entry].incarnation == incarnation // its earlier claim is already counted as lost
	for _, line := range req.Lines {
		l := b.workspaces[line.Team]
		if line.Held > 0 && (reregistered || l == nil || l.unclaimed < int(line.Held)) {
			return false
		}
	}
	b.borrowers[req.Borrower] = &borrower{lastHeard: now, pending: make(map[string]uint64)}
	for _, line := range req.Lines {
		if l := b.workspaces[line.Team]; l != nil && line.Held > 0 {
			l.unclaimed -= int(line.Held)
			l.loanOf(req.Borrower).granted = int(line.Held)
			b.borrowers[req.Borrower].pending[line.Team] = 0
		}
	}
	for workspace, l := range b.workspaces {
		b.rebalance(workspace, l, now)
	}
	return true
}

// removeEarlierIncarnations removes earlier incarnations of the same entry. It returns false if a later one has
// registered, or if the request was sent before the borrower was removed.
func (b *Bank) removeEarlierIncarnations(now time.Time, id string, sequence uint64) bool {
	entry, incarnation, ok := ParseHolderID(id)
	if !ok {
		return false
	}
	gone := b.removed[entry]
	if incarnation < gone.incarnation || (incarnation == gone.incarnation && sequence <= gone.sequence) {
		return false
	}
	for other := range b.borrowers {
		name, inc, _ := ParseHolderID(other)
		if name != entry {
			continue
		}
		if inc > incarnation {
			return false
		}
		b.removeBorrower(other, now, now.Add(b.timing.Fence+b.timing.MaxRun))
	}
	return true
}

// removeBorrower removes a borrower and holds back its permits until its requests must have ended.
func (b *Bank) removeBorrower(id string, now, until time.Time) {
	b.deleteBorrower(id)
	for workspace, l := range b.workspaces {
		loan := l.loans[id]
		if loan == nil {
			continue
		}
		delete(l.loans, id)
		if loan.granted > 0 {
			l.lost = append(l.lost, &lostLoan{owner: id, permits: loan.granted, since: now, until: until})
		}
		b.rebalance(workspace, l, now)
	}
}

// deleteBorrower deletes a borrower and records the sequence up to which its requests are void.
func (b *Bank) deleteBorrower(id string) {
	entry, incarnation, _ := ParseHolderID(id)
	if br := b.borrowers[id]; br != nil && incarnation >= b.removed[entry].incarnation {
		b.removed[entry] = removedBorrower{incarnation: incarnation, sequence: br.sequence}
	}
	delete(b.borrowers, id)
}

// Heard records that an entry was heard in any way other than a borrow request.
func (b *Bank) Heard(entry string, now time.Time) {
	for id, br := range b.borrowers {
		if name, _, _ := ParseHolderID(id); name == entry {
			br.lastHeard = now
		}
	}
}

// Tick removes a borrower that has been silent for too long, frees lost permits whose requests have ended, and
// rotates permits among the borrowers if there are too few.
func (b *Bank) Tick(now time.Time, work RunningRequests) {
	b.removeSilentBorrower(now)
	b.updateRegisteredAt(now, work)
	for workspace, l := range b.workspaces {
		freed := l.expireLost(now, workspace, work)
		freed = b.freeUnclaimed(now, workspace, l, work) || freed
		if freed || l.hasStarvedBorrower() {
			b.rebalance(workspace, l, now)
		}
	}
}

// updateRegisteredAt updates the time since which every entry has been registered. After that time any unclaimed permit
// was lent to a process that has ended.
func (b *Bank) updateRegisteredAt(now time.Time, work RunningRequests) {
	ids := make([]string, 0, len(b.borrowers))
	for id := range b.borrowers {
		ids = append(ids, id)
	}
	switch {
	case !work.AllRegistered(ids):
		b.registeredAt = time.Time{}
	case b.registeredAt.IsZero():
		b.registeredAt = now
	}
}

// freeUnclaimed frees permits lent by a former holder. Once every entry is registered, it keeps as many as there are
// requests seen running and frees the rest. After the takeover timeout, when nothing can run on them, it frees all.
func (b *Bank) freeUnclaimed(now time.Time, workspace string, l *workspaceLedger, work RunningRequests) (freed bool) {
	if b.tookOverAt.IsZero() || l.unclaimed == 0 {
		return false
	}
	if now.Sub(b.tookOverAt) >= b.timing.takeoverTimeout() {
		l.unclaimed = 0
		return true
	}
	if b.registeredAt.IsZero() {
		return false
	}
	running, complete := work.RunningOfEndedProcesses(workspace, b.registeredAt)
	if !complete || running >= l.unclaimed {
		return false
	}
	l.unclaimed = running
	return true
}

// removeSilentBorrower removes a borrower that has been silent for so long that it must have fenced itself. If
// several are silent, this holder may itself be cut off, so it removes none.
func (b *Bank) removeSilentBorrower(now time.Time) {
	var silent []string
	for id, br := range b.borrowers {
		if id != b.id && now.Sub(br.lastHeard) >= 2*b.timing.Fence {
			silent = append(silent, id)
		}
	}
	if len(silent) == 1 {
		b.removeBorrower(silent[0], now, now.Add(b.timing.MaxRun))
	}
}

// expireLost frees lost permits whose time limit has passed or whose requests are seen to have ended.
func (l *workspaceLedger) expireLost(now time.Time, workspace string, work RunningRequests) (freed bool) {
	var kept []*lostLoan
	for _, lost := range l.lost {
		if running, complete := work.RunningOf(lost.owner, workspace, lost.since); complete && running < lost.permits {
			lost.permits = running
			freed = true
		}
		if lost.permits > 0 && now.Before(lost.until) {
			kept = append(kept, lost)
			continue
		}
		freed = true
	}
	l.lost = kept
	return freed
}

// hasStarvedBorrower reports whether a borrower needs a permit and has none.
func (l *workspaceLedger) hasStarvedBorrower() bool {
	for _, loan := range l.loans {
		if loan.need > 0 && loan.granted == 0 {
			return true
		}
	}
	return false
}
