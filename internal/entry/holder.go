package entry

import (
	"context"
	"slices"
	"strings"
	"sync"
	"sync/atomic"
	"time"

	"laburnumrouter/internal/process/directory"
	"laburnumrouter/internal/process/escrow"
	"laburnumrouter/internal/process/viewsync"
	"laburnumrouter/internal/request/requestid"
	laburnumv1 "laburnumrouter/proto/laburnum/v1"
)

const (
	// sliceCheckInterval is the interval at which the holder checks whether it has something to report to the leader of the
	// control log.
	sliceCheckInterval = 100 * time.Millisecond
	// inFlightMargin is the time for which requests may still be on their way to a server after their entry was lost.
	inFlightMargin = 2 * time.Second
)

// lender is the lending side of limits: it owns the bank while this entry holds the data centre's slices.
type lender struct {
	hasBank atomic.Bool // mirrors bank != nil, to be read without the lock

	mu      sync.Mutex
	bank    *escrow.Bank // nil if another entry holds the slices
	bankID  string       // member id of this entry when the bank was created
	fenced  bool
	index   uint64        // index of the view that was last applied to the bank
	changed chan struct{} // closed and replaced when there may be news for borrowers
}

func (l *lender) active() bool { return l.hasBank.Load() }

func (l *lender) recordContact(entry string, now time.Time) {
	l.mu.Lock()
	defer l.mu.Unlock()
	if l.bank != nil {
		l.bank.Heard(entry, now)
	}
}

// notifyBorrowers wakes the borrowers' requests that wait for news. The caller holds the lock.
func (l *lender) notifyBorrowers() {
	close(l.changed)
	l.changed = make(chan struct{})
}

func (l *lender) tick(now time.Time, work escrow.RunningRequests) {
	l.mu.Lock()
	defer l.mu.Unlock()
	if l.bank != nil {
		l.bank.Tick(now, work)
		l.notifyBorrowers()
	}
}

// refreshLender creates or drops the bank as this entry becomes or stops being the holder, and applies accepted changes
// to the bank.
func (m *escrowMember) refreshLender(now time.Time, fenced bool) {
	e := m.entry
	id, view := e.memberID(), e.store.View()
	b := &m.lender
	b.mu.Lock()
	defer b.mu.Unlock()
	b.fenced = fenced
	if e.holder() != id {
		if b.bank != nil {
			e.log.Info("slices handed over", "holder", e.holder())
			b.bank = nil
			b.hasBank.Store(false)
			b.notifyBorrowers()
		}
		return
	}
	if b.bank == nil || b.bankID != id {
		former := view.RecordGroup(e.settings.DataCentre).GetPreviousHolder()
		b.bank = escrow.NewBank(id, escrow.Timing{Fence: escrow.FenceTime}, former != "", now)
		b.bankID, b.index = id, 0
		b.hasBank.Store(true)
		e.log.Info("slices taken up", "former_holder", former)
	}
	if b.index == view.Index {
		return
	}
	b.index = view.Index
	b.bank.SetMaxRun(longestRun(view.Queues()))
	for workspace, slice := range view.Slices(e.settings.DataCentre) {
		b.bank.SetSlice(now, workspace, slice.Permits, slice.Incarnation, view.Workspace(workspace).GetLimit())
	}
	b.notifyBorrowers()
}

// longestRun returns the longest time that a request may run. A request must end within its queue's longest wait plus
// longest run after its arrival, so one that starts at once may run for the sum of both.
func longestRun(queues map[string]*laburnumv1.Queue) time.Duration {
	var longest uint32
	for _, q := range queues {
		longest = max(longest, q.MaxWaitMs+q.MaxRunMs)
	}
	return time.Duration(longest) * time.Millisecond
}

// lend serves a borrower's request. It waits for news as long as the request allows.
func (m *escrowMember) lend(ctx context.Context, req *laburnumv1.BorrowRequest) *laburnumv1.BorrowResponse {
	m.refresh(m.entry.now())
	refusal := &laburnumv1.BorrowResponse{Sequence: req.Sequence, NotHolder: true}
	b := &m.lender
	b.mu.Lock()
	defer b.mu.Unlock()
	if b.bank == nil || b.bankID != req.Holder || b.fenced {
		return refusal
	}
	if b.bank.Borrow(m.entry.now(), req) {
		return &laburnumv1.BorrowResponse{Sequence: req.Sequence, Void: true}
	}
	b.notifyBorrowers()
	timer := time.NewTimer(time.Duration(req.WaitMs) * time.Millisecond)
	defer timer.Stop()
	for waiting := !req.Closing; waiting && !b.bank.Pending(req.Borrower) && b.bank.LastSequence(req.Borrower) == req.Sequence; {
		waiting = b.wait(ctx, timer)
		if b.bank == nil || b.bankID != req.Holder {
			return refusal
		}
	}
	return b.bank.Answer(req.Borrower, req.Sequence)
}

// wait releases the lock and blocks until there may be news. It returns false when the time is up.
func (l *lender) wait(ctx context.Context, timer *time.Timer) bool {
	changed := l.changed
	l.mu.Unlock()
	defer l.mu.Lock()
	select {
	case <-changed:
		return true
	case <-timer.C:
	case <-ctx.Done():
	}
	return false
}

// escrowServer serves borrowers.
type escrowServer struct {
	member *escrowMember
}

// Borrow implements EscrowService.
func (s *escrowServer) Borrow(ctx context.Context, req *laburnumv1.BorrowRequest) (*laburnumv1.BorrowResponse, error) {
	req.WaitMs = min(req.WaitMs, uint32(borrowWait.Milliseconds()))
	return s.member.lend(ctx, req), nil
}

// sliceLoop runs until ctx ends. While this entry holds the data centre's slices, it reports to the leader of the control
// log how many permits the data centre needs and how many it gives up.
func (m *escrowMember) sliceLoop(ctx context.Context) error {
	s := &sliceSync{member: m}
	return every(ctx, sliceCheckInterval, func() {
		m.refresh(m.entry.now())
		req := s.request()
		if req == nil || s.cancelIdleCall(req) {
			return
		}
		callCtx, cancel := context.WithTimeout(ctx, sliceWait+callTimeout)
		s.setCall(cancel)
		go func() {
			defer cancel()
			s.call(callCtx, req)
		}()
	})
}

// announcedWork implements escrow.RunningRequests from the announcements of backend servers that this entry knows of.
type announcedWork struct {
	entry *Entry
}

// RunningOf implements escrow.RunningRequests.
func (w *announcedWork) RunningOf(owner, workspace string, since time.Time) (running int, complete bool) {
	name, incarnation, ok := escrow.ParseHolderID(owner)
	if !ok {
		return 0, false
	}
	return w.count(since, []string{owner}, func(id requestid.ID) bool {
		return id.Entry == name && id.Incarnation <= incarnation && id.Workspace == workspace
	})
}

// RunningOfEndedProcesses implements escrow.RunningRequests.
func (w *announcedWork) RunningOfEndedProcesses(workspace string, since time.Time) (running int, complete bool) {
	entries := w.entry.entryProcesses(w.entry.now())
	// No process has incarnation 0, so a view accounts for "<entry>.0" only if it lists the requests of all processes of the
	// entry that are not live (see viewsync.AccountsFor).
	var former []string
	for _, process := range entries {
		name, _, _ := strings.Cut(process, ".")
		former = append(former, escrow.HolderID(name, 0))
	}
	return w.count(since, former, func(id requestid.ID) bool {
		return id.Workspace == workspace && !slices.Contains(entries, escrow.HolderID(id.Entry, id.Incarnation))
	})
}

// AllRegistered implements escrow.RunningRequests.
func (w *announcedWork) AllRegistered(borrowers []string) bool {
	for _, process := range w.entry.entryProcesses(w.entry.now()) {
		if process != w.entry.memberID() && !slices.Contains(borrowers, process) {
			return false
		}
	}
	return true
}

// count returns the number of requests running on the data centre's instances that match. complete is false unless each
// instance announced itself at least inFlightMargin after since and lists all requests of the given processes.
func (w *announcedWork) count(since time.Time, processes []string, match func(requestid.ID) bool) (running int, complete bool) {
	for _, a := range w.entry.store.View().Assignments() {
		if a.DataCentre != w.entry.settings.DataCentre {
			continue // the permit of a request is held in the data centre where the request runs
		}
		i, ok := w.entry.directory.Get(a.Instance)
		if !ok || i.Heard.Before(since.Add(inFlightMargin)) {
			return 0, false
		}
		for _, process := range processes {
			if !viewsync.AccountsFor(i.View, process) {
				return 0, false
			}
		}
		n, ok := countMatching(i, match)
		if !ok {
			return 0, false
		}
		running += n
	}
	return running, true
}

// countMatching counts an instance's requests that match; ok is false if a request id is malformed.
func countMatching(i directory.Instance, match func(requestid.ID) bool) (n int, ok bool) {
	for _, text := range i.View.Running {
		id, err := requestid.Parse(text)
		if err != nil {
			return 0, false
		}
		if match(id) {
			n++
		}
	}
	return n, true
}
