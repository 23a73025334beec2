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

// escrowMember is this entry's part in escrow. It borrows the permits that enforce the workspaces' limits. While it holds the
// data centre's slices, which are the data centre's parts of these limits, it also lends permits to the other entries.
type escrowMember struct {
	entry    *Entry
	account  *escrow.Account
	contacts *escrow.Contacts
	others   []string // other entries of the data centre
	lender   lender
}

func newEscrowMember(e *Entry, now time.Time) *escrowMember {
	m := &escrowMember{entry: e, contacts: escrow.NewContacts(now)}
	m.account = escrow.NewAccount(e.memberID(), func() { e.queue.Reevaluate() })
	// Fencing is checked for each permit: a process that was suspended must not use permits that it held before.
	m.account.SetGate(func(string) bool { return !m.fenced(m.entry.now()) })
	m.lender.changed = make(chan struct{})
	for _, p := range e.settings.Entries {
		if p.DataCentre == e.settings.DataCentre {
			m.others = append(m.others, p.Name)
			m.contacts.EntryHeard(p.Name, now)
		}
	}
	return m
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
func (m *escrowMember) recordContact(name string, now time.Time) {
	m.contacts.EntryHeard(name, now)
	m.lender.recordContact(name, now)
}

// recordExchangeFailure records that an exchange failed. A refused connection counts as contact: it shows that the
// process is down, so that it runs no requests and lends no permits.
func (m *escrowMember) recordExchangeFailure(name string, err error, now time.Time) {
	if errors.Is(err, syscall.ECONNREFUSED) {
		m.contacts.EntryHeard(name, now)
	}
}

// fenced reports whether this entry must not use its permits at the moment. While this entry holds the slices, its last
// contact with the quorum of the control log is first recorded as its contact with the lender.
func (m *escrowMember) fenced(now time.Time) bool {
	if m.lender.active() {
		m.contacts.LenderHeard(now.Add(-m.entry.quorumContact.Age(now)))
	}
	return m.contacts.Fenced(now, m.others)
}

// refresh updates the account and the lender from the accepted configuration and the current contacts.
func (m *escrowMember) refresh(now time.Time) {
	fenced := m.fenced(now)
	m.account.SetID(m.entry.memberID())
	m.account.SetFenced(fenced)
	m.account.SetHolder(m.entry.holder())
	m.refreshLender(now, fenced)
}

// tickLoop checks fencing and the permits of lost borrowers until ctx ends.
func (m *escrowMember) tickLoop(ctx context.Context) error {
	wasFenced := false
	return every(ctx, escrowTickInterval, func() {
		now := m.entry.now()
		m.refresh(now)
		m.lender.tick(now, &announcedWork{entry: m.entry})
		m.updateGauges(now)
		if fenced := m.fenced(now); fenced != wasFenced {
			m.entry.log.Warn("use of permits", "fenced", fenced, "reason", "contact with holder or control log and data centre")
			wasFenced = fenced
		}
	})
}

// updateGauges sets the gauges of fencing and of the record store's contents.
func (m *escrowMember) updateGauges(now time.Time) {
	fenced := 0.0
	if m.fenced(now) {
		fenced = 1
	}
	records, bytes := m.entry.recorder.store.Count()
	m.entry.scope.Gauge("limits_fenced").Update(fenced)
	m.entry.scope.Gauge("records").Update(float64(records))
	m.entry.scope.Gauge("record_bytes").Update(float64(bytes))
}

// borrowLoop exchanges permits with the holder until ctx ends. A request is sent at once when something changed here;
// otherwise the holder answers the pending one as soon as it has news.
func (m *escrowMember) borrowLoop(ctx context.Context) error {
	for ctx.Err() == nil {
		callCtx, cancel := context.WithTimeout(ctx, borrowWait+callTimeout)
		done := make(chan error, 1)
		go func() { done <- m.borrow(callCtx) }()
		pause := minBorrowInterval
		select {
		case err := <-done:
			if err != nil {
				m.entry.log.Debug("borrowing failed", "holder", m.entry.holder(), "error", err)
				pause = retryPause
			}
		case <-m.account.Wake():
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

func (m *escrowMember) borrow(ctx context.Context) error {
	now := m.entry.now()
	m.refresh(now)
	req := m.account.Request(now)
	if req == nil {
		return errNoHolder
	}
	req.WaitMs = uint32(borrowWait.Milliseconds())
	resp, err := m.send(ctx, req)
	if err != nil {
		return err
	}
	if resp.NotHolder {
		return errNoHolder
	}
	m.contacts.LenderHeard(now)
	m.account.SetFenced(m.fenced(m.entry.now()))
	m.account.Apply(req, resp)
	return nil
}

func (m *escrowMember) send(ctx context.Context, req *laburnumv1.BorrowRequest) (*laburnumv1.BorrowResponse, error) {
	if req.Holder == m.entry.memberID() {
		return m.lend(ctx, req), nil
	}
	p := m.entry.peerOf(req.Holder)
	if p == nil {
		return nil, errNoHolder
	}
	return p.Escrow.Borrow(ctx, req)
}

// close returns the permits that are not in use. It is called once this entry accepts no more requests.
func (m *escrowMember) close() {
	req := m.account.Closing(m.entry.now())
	if req == nil {
		return
	}
	ctx, cancel := context.WithTimeout(context.Background(), callTimeout)
	defer cancel()
	if _, err := m.send(ctx, req); err != nil {
		m.entry.log.Debug("permits not returned", "error", err)
	}
}
