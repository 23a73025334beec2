package entry

import (
	"context"
	"errors"
	"syscall"
	"time"

	"laburnumrouter/internal/connection/peer"
	"laburnumrouter/internal/process/escrow"
	laburnumv1 "laburnumrouter/proto/laburnum/v1"
)

const (
	// borrowWait is how long the holder may delay its answer while it has no news. While nothing changes, there is one
	// exchange per borrowWait.
	borrowWait = 2 * time.Second
	// minBorrowInterval is the least time between two requests to the holder.
	minBorrowInterval = 10 * time.Millisecond
	// escrowTickInterval is the interval at which fencing and the permits of lost borrowers are checked.
	escrowTickInterval = 500 * time.Millisecond
)

// escrowMember is this entry's part in escrow. It borrows the permits that enforce the teams' limits. While it holds the
// data centre's slices, which are the data centre's parts of these limits, it also lends permits to the other entries.
type escrowMember struct {
	entry    *Entry
	account  *escrow.Account
	contacts *escrow.Contacts
	others   []string // other entries of the data centre
	lender   lender
}

func newEscrowMember(e *Entry, now time.Time) *escrowMember {
	l := &escrowMember{entry: e, contacts: escrow.NewContacts(now)}
	l.account = escrow.NewAccount(e.memberID(), func() { e.queue.Reevaluate() })
	// Fencing is checked for each permit: a process that was suspended must not use permits that it held before.
	l.account.SetGate(func(string) bool { return !l.fenced(l.entry.now()) })
	l.lender.changed = make(chan struct{})
	for _, p := range e.settings.Entries {
		if p.DataCentre == e.settings.DataCentre {
			l.others = append(l.others, p.Name)
			l.contacts.EntryHeard(p.Name, now)
		}
	}
	return l
}

// memberID identifies this incarnation of the entry in record groups and in escrow.
func (e *Entry) memberID() string { return escrow.HolderID(e.settings.Name, e.members.Incarnation()) }

// holder returns the member that holds the data centre's slices, or "" if there is none.
func (e *Entry) holder() string {
	if members := e.store.View().RecordGroup(e.settings.DataCentre).GetMembers(); len(members) > 0 {
		return members[0]
	}
	return ""
}

// peerOf returns the peer that runs under the given member id, or nil.
func (e *Entry) peerOf(member string) *peer.Peer {
	name, _, _ := escrow.ParseHolderID(member)
	for _, p := range e.entries {
		if p.Name == name {
			return p
		}
	}
	return nil
}

// recordContact records that another entry was heard.
func (l *escrowMember) recordContact(name string, now time.Time) {
	l.contacts.EntryHeard(name, now)
	l.lender.recordContact(name, now)
}

// recordExchangeFailure records that an exchange failed. A refused connection counts as contact: it shows that the
// process is down, so that it runs no requests and lends no permits.
func (l *escrowMember) recordExchangeFailure(name string, err error, now time.Time) {
	if errors.Is(err, syscall.ECONNREFUSED) {
		l.contacts.EntryHeard(name, now)
	}
}

// fenced reports whether this entry must not use its permits at the moment. While this entry holds the slices, its last
// contact with the quorum of the control log is first recorded as its contact with the lender.
func (l *escrowMember) fenced(now time.Time) bool {
	if l.lender.active() {
		l.contacts.LenderHeard(now.Add(-l.entry.quorumContact.Age(now)))
	}
	return l.contacts.Fenced(now, l.others)
}

// refresh updates the account and the lender from the accepted configuration and the current contacts.
func (l *escrowMember) refresh(now time.Time) {
	fenced := l.fenced(now)
	l.account.SetID(l.entry.memberID())
	l.account.SetFenced(fenced)
	l.account.SetHolder(l.entry.holder())
	l.refreshLender(now, fenced)
}

// tickLoop checks fencing and the permits of lost borrowers until ctx ends.
func (l *escrowMember) tickLoop(ctx context.Context) error {
	wasFenced := false
	return every(ctx, escrowTickInterval, func() {
		now := l.entry.now()
		l.refresh(now)
		l.lender.tick(now, &announcedWork{entry: l.entry})
		l.updateGauges(now)
		if fenced := l.fenced(now); fenced != wasFenced {
			l.entry.log.Warn("use of permits", "fenced", fenced, "reason", "contact with holder or control log and data centre")
			wasFenced = fenced
		}
	})
}

// updateGauges sets the gauges of fencing and of the record store's contents.
func (l *escrowMember) updateGauges(now time.Time) {
	fenced := 0.0
	if l.fenced(now) {
		fenced = 1
	}
	records, bytes := l.entry.recorder.store.Count()
	l.entry.scope.Gauge("limits_fenced").Update(fenced)
	l.entry.scope.Gauge("records").Update(float64(records))
	l.entry.scope.Gauge("record_bytes").Update(float64(bytes))
}

// borrowLoop exchanges permits with the holder until ctx ends. A request is sent at once when something changed here;
// otherwise the holder answers the pending one as soon as it has news.
func (l *escrowMember) borrowLoop(ctx context.Context) error {
	for ctx.Err() == nil {
		callCtx, cancel := context.WithTimeout(ctx, borrowWait+callTimeout)
		done := make(chan error, 1)
		go func() { done <- l.borrow(callCtx) }()
		pause := minBorrowInterval
		select {
		case err := <-done:
			if err != nil {
				l.entry.log.Debug("borrowing failed", "holder", l.entry.holder(), "error", err)
				pause = retryPause
			}
		case <-l.account.Wake():
		}
		// A request that is still pending is cancelled: the holder would answer it only when the next one arrives, and the
		// answer would be out of date.
		cancel()
		sleep(ctx, pause)
	}
	return nil
}

func sleep(ctx context.Context, d time.Duration) {
	select {
	case <-time.After(d):
	case <-ctx.Done():
	}
}

var errNoHolder = Error.New("no entry holds the slices of the data centre")

func (l *escrowMember) borrow(ctx context.Context) error {
	now := l.entry.now()
	l.refresh(now)
	req := l.account.Request(now)
	if req == nil {
		return errNoHolder
	}
	req.WaitMs = uint32(borrowWait.Milliseconds())
	resp, err := l.send(ctx, req)
	if err != nil {
		return err
	}
	if resp.NotHolder {
		return errNoHolder
	}
	l.contacts.LenderHeard(now)
	l.account.SetFenced(l.fenced(l.entry.now()))
	l.account.Apply(req, resp)
	return nil
}

func (l *escrowMember) send(ctx context.Context, req *laburnumv1.BorrowRequest) (*laburnumv1.BorrowResponse, error) {
	if req.Holder == l.entry.memberID() {
		return l.lend(ctx, req), nil
	}
	p := l.entry.peerOf(req.Holder)
	if p == nil {
		return nil, errNoHolder
	}
	return p.Escrow.Borrow(ctx, req)
}

// close returns the permits that are not in use. It is called once this entry accepts no more requests.
func (l *escrowMember) close() {
	req := l.account.Closing(l.entry.now())
	if req == nil {
		return
	}
	ctx, cancel := context.WithTimeout(context.Background(), callTimeout)
	defer cancel()
	if _, err := l.send(ctx, req); err != nil {
		l.entry.log.Debug("permits not returned", "error", err)
	}
}
