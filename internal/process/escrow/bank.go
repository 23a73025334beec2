package escrow

import (
	"sort"
	"time"

	laburnumv1 "laburnumrouter/proto/laburnum/v1"
)

// Timing bounds how long the permits of an unreachable borrower may still be in use.
type Timing struct {
	// Fence is the time without contact after which a borrower stops using its permits.
	Fence time.Duration
	// MaxRun is the longest run time that any queue allows a request.
	MaxRun time.Duration
}

// Bank is the holder's side of escrow: it lends the permits of a data centre's slices to entries.
// It is a deterministic state machine and not safe for concurrent use; callers serialise the calls.
//
// For each workspace it records what is granted to each borrower. The record is raised before the grant is sent and lowered
// only after the borrower has given permits back. Grants, lost and unclaimed permits never add up to more than the
// slice.
type Bank struct {
	id         string
	timing     Timing
	tookOverAt time.Time // when this bank replaced another holder; zero if there was none
	// registeredAt is the time since which every entry has been registered; zero while one is not.
	registeredAt time.Time
	workspaces   map[string]*workspaceLedger
	borrowers    map[string]*borrower
	removed      map[string]removedBorrower // latest one, by entry
}

// removedBorrower identifies a borrower that was removed; its requests up to sequence are void.
type removedBorrower struct {
	incarnation, sequence uint64
}

// workspaceLedger tracks the loans and the lost permits of one workspace's slice.
type workspaceLedger struct {
	slice          int    // permits that the control log assigns to the data centre
	incarnation    uint64 // of the slice
	ownLimit       int    // permits to which the holder has limited itself for this incarnation; noBound if to the whole slice
	requestedBound int    // bound that the control log's leader requested for this incarnation; noBound if none
	limit          int    // the workspace's limit in the sheet
	unclaimed      int    // permits that a former holder may have lent to a borrower not registered here yet
	loans          map[string]*loan
	lost           []*lostLoan
	acknowledged   laburnumv1.SliceLine // last line that the leader acknowledged
}

// noBound is the value of a bound that is not set.
const noBound = int(^uint(0) >> 1)

// loan is one borrower's part of a workspace's slice: the permits granted, the need that it reported, and the target down
// to which it should return permits.
type loan struct {
	granted, need, target int
}

// lostLoan holds back the permits of a removed borrower until its requests have ended.
type lostLoan struct {
	owner   string
	permits int
	since   time.Time
	until   time.Time
}

// borrower is the state of the exchange with one registered borrower.
type borrower struct {
	sequence  uint64
	lastHeard time.Time
	// pending holds the grants that the borrower has not confirmed: by workspace, the sequence of the last response that
	// carried the current grant, or 0 if none did.
	pending map[string]uint64
}

// NewBank returns the bank of the holder id. Set takeover if it replaces another holder: permits that the former holder
// may have lent are then lent again only once their borrowers have registered here or can no longer use them.
func NewBank(id string, timing Timing, takeover bool, now time.Time) *Bank {
	b := &Bank{
		id:         id,
		timing:     timing,
		workspaces: make(map[string]*workspaceLedger),
		borrowers:  make(map[string]*borrower),
		removed:    make(map[string]removedBorrower),
	}
	if takeover {
		b.tookOverAt = now
	}
	return b
}

// takeoverTimeout is the time after which nothing runs any more on permits that a former holder lent. It allows one
// Fence for the former holder and one for its borrowers to fence themselves, one Fence as margin for clocks that run at
// different speeds, and MaxRun for the requests started before.
func (t Timing) takeoverTimeout() time.Duration { return 3*t.Fence + t.MaxRun }

// SetMaxRun raises the longest run time of requests to d; it never lowers it.
func (b *Bank) SetMaxRun(d time.Duration) { b.timing.MaxRun = max(d, b.timing.MaxRun) }

// SetSlice applies the slice that the control log assigns to the data centre, and the workspace's limit.
func (b *Bank) SetSlice(now time.Time, workspace string, permits uint32, incarnation uint64, limit uint32) {
	l := b.workspaces[workspace]
	if l == nil {
		l = &workspaceLedger{ownLimit: noBound, requestedBound: noBound, loans: make(map[string]*loan)}
		b.workspaces[workspace] = l
		if !b.tookOverAt.IsZero() && now.Equal(b.tookOverAt) {
			l.unclaimed = int(permits)
		}
	}
	if l.incarnation == incarnation && l.limit == int(limit) {
		return
	}
	if incarnation > l.incarnation {
		l.slice, l.incarnation = int(permits), incarnation
		l.ownLimit, l.requestedBound = noBound, noBound
	}
	l.limit = int(limit)
	b.rebalance(workspace, l, now)
}

// SetTarget applies the leader's request that the holder limit itself to fewer permits.
func (b *Bank) SetTarget(now time.Time, t *laburnumv1.SliceTarget) {
	l := b.workspaces[t.Team]
	if l == nil || l.incarnation != t.Incarnation {
		return
	}
	l.requestedBound = int(t.Permits)
	b.rebalance(t.Team, l, now)
}

// ceiling returns the number of permits that the holder and its borrowers may use together.
func (l *workspaceLedger) ceiling() int { return min(l.slice, l.ownLimit) }

// outstanding returns the number of permits that may be in use: lent, lost or unclaimed.
func (l *workspaceLedger) outstanding() int {
	out := l.unclaimed
	for _, loan := range l.loans {
		out += loan.granted
	}
	return out + l.lostPermits()
}

func (l *workspaceLedger) lostPermits() int {
	total := 0
	for _, lost := range l.lost {
		total += lost.permits
	}
	return total
}

// rebalance recomputes the borrowers' targets and lends free permits. If the leader or a lower limit demands it, it
// also lowers the ceiling as far as returned permits allow.
func (b *Bank) rebalance(workspace string, l *workspaceLedger, now time.Time) {
	budget := min(l.ceiling(), l.requestedBound, l.limit)
	ids := make([]string, 0, len(b.borrowers))
	for id := range b.borrowers {
		ids = append(ids, id)
	}
	sort.Strings(ids)
	claims := make([]Claim, len(ids))
	for i, id := range ids {
		if loan := l.loans[id]; loan != nil {
			claims[i] = Claim{Held: loan.granted, Need: loan.need}
		}
	}
	out := l.outstanding()
	lent := budget - l.unclaimed - l.lostPermits()
	for i, target := range Balance(lent, claims, now) {
		more := max(min(target-claims[i].Held, budget-out), 0)
		out += more
		b.setLoan(workspace, l, ids[i], claims[i].Held+more, target)
	}
	if budget < l.ceiling() && out < l.ceiling() {
		l.ownLimit = max(budget, out)
	}
}

// setLoan sets a borrower's grant and target, and marks the workspace as pending if they changed.
func (b *Bank) setLoan(workspace string, l *workspaceLedger, id string, granted, target int) {
	loan := l.loanOf(id)
	// A target above the grant has no effect on the borrower, so a change of it need not be sent.
	target = min(target, granted)
	if loan.granted == granted && loan.target == target {
		return
	}
	loan.granted, loan.target = granted, target
	b.borrowers[id].pending[workspace] = 0
}

func (l *workspaceLedger) loanOf(id string) *loan {
	if l.loans[id] == nil {
		l.loans[id] = &loan{}
	}
	return l.loans[id]
}

// Borrow applies a borrower's request; Answer builds the response to it. If Borrow returns true, the permits that the
// borrower reports as held are void and it must drop them.
func (b *Bank) Borrow(now time.Time, req *laburnumv1.BorrowRequest) (void bool) {
	br := b.borrowers[req.Borrower]
	if br == nil {
		if req.Applied != 0 || !b.register(now, req) {
			return !req.Closing
		}
		br = b.borrowers[req.Borrower]
	}
	if req.Sequence <= br.sequence {
		return false // late or repeated
	}
	br.sequence = req.Sequence
	br.lastHeard = now
	for workspace, sent := range br.pending {
		if sent != 0 && req.Applied >= sent {
			delete(br.pending, workspace)
		}
	}
	for _, line := range req.Lines {
		b.applyLine(req.Borrower, br, line)
	}
	if req.Closing {
		b.removeBorrower(req.Borrower, now, now.Add(b.timing.Fence+b.timing.MaxRun))
		return false
	}
	for _, line := range req.Lines {
		if l := b.workspaces[line.Team]; l != nil {
			b.rebalance(line.Team, l, now)
		}
	}
	return false
}

// applyLine applies what a borrower reports of one workspace: its need and the permits that it still holds.
func (b *Bank) applyLine(id string, br *borrower, line *laburnumv1.BorrowLine) {
	l := b.workspaces[line.Team]
	if l == nil {
		return
	}
	loan := l.loanOf(id)
	loan.need = int(line.Need)
	if loan.granted != int(line.Held) {
		loan.granted = min(loan.granted, int(line.Held))
		br.pending[line.Team] = 0 // the borrower may lack an earlier grant
	}
}

// Pending reports whether some grant may not have reached the borrower yet.
func (b *Bank) Pending(id string) bool {
	br := b.borrowers[id]
	if br == nil {
		return true
	}
	for _, sent := range br.pending {
		if sent == 0 || sent < br.sequence {
			return true
		}
	}
	return false
}

// LastSequence returns the sequence of the borrower's latest request.
func (b *Bank) LastSequence(id string) uint64 {
	if br := b.borrowers[id]; br != nil {
		return br.sequence
	}
	return 0
}

// Answer builds the response to the request with the given sequence.
func (b *Bank) Answer(id string, sequence uint64) *laburnumv1.BorrowResponse {
	resp := &laburnumv1.BorrowResponse{Sequence: sequence}
	br := b.borrowers[id]
	if br == nil || sequence != br.sequence {
		return resp
	}
	for workspace := range br.pending {
		loan := b.workspaces[workspace].loanOf(id)
		resp.Lines = append(resp.Lines, &laburnumv1.GrantLine{Team: workspace, Granted: uint32(loan.granted), Target: uint32(loan.target)})
		br.pending[workspace] = sequence
	}
	return resp
}

// Borrowed returns the number of permits lent to registered borrowers, and the number held back for removed or
// unregistered ones.
func (b *Bank) Borrowed(workspace string) (granted, heldBack int) {
	l := b.workspaces[workspace]
	if l == nil {
		return 0, 0
	}
	heldBack = l.unclaimed + l.lostPermits()
	return l.outstanding() - heldBack, heldBack
}

// Lines returns the lines to report to the control log's leader: those that changed since the last acknowledged report
// or, if full is set, all that differ from what the leader assumes without a report: the whole slice is held and
// nothing is needed.
func (b *Bank) Lines(full bool) []*laburnumv1.SliceLine {
	var lines []*laburnumv1.SliceLine
	for workspace, l := range b.workspaces {
		line := &laburnumv1.SliceLine{Team: workspace, Incarnation: l.incarnation, Held: uint32(l.ceiling())}
		for _, loan := range l.loans {
			line.Need += uint32(loan.need)
			line.Running += uint32(loan.granted)
		}
		s := &l.acknowledged
		if line.Held == uint32(l.slice) && line.Need == 0 && (full || s.Need == 0) {
			continue // equals what the leader assumes without a report
		}
		if !full && s.Incarnation == line.Incarnation && s.Held == line.Held && withinTolerance(int(line.Need), int(s.Need)) {
			continue
		}
		lines = append(lines, line)
	}
	return lines
}

// Acknowledge records that the leader has acknowledged lines.
func (b *Bank) Acknowledge(lines []*laburnumv1.SliceLine) {
	for _, line := range lines {
		if l := b.workspaces[line.Team]; l != nil {
			s := &l.acknowledged
			s.Incarnation, s.Held, s.Need = line.Incarnation, line.Held, line.Need
		}
	}
}
