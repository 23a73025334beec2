package entry

import (
	"context"
	"sync"
	"time"

	laburnumv1 "laburnumrouter/proto/laburnum/v1"
)

// sliceWait is how long the leader may delay its answer while it has no news. While nothing changes, there is one exchange
// per sliceWait.
const sliceWait = time.Second

// sliceSync is the holder's exchange with the leader of the control log. At most one call is in flight; a call that only
// waits for news is cancelled when there is something to report.
type sliceSync struct {
	member *escrowMember

	mu            sync.Mutex
	cancel        context.CancelFunc // cancels the call in flight, nil if there is none
	carriesReport bool               // whether the call in flight is a full report or has changed figures of workspaces
	nextControl   int                // index of the control instance to ask: the one that last answered as leader, or the next to try
	term          uint64             // of the leader that has a full report; 0 if the next report must be a full one
	holder        string             // member id under which the last acknowledged report was sent
}

// request builds the next request, or returns nil if this entry holds no slices.
func (s *sliceSync) request() *laburnumv1.SyncSlicesRequest {
	s.mu.Lock()
	defer s.mu.Unlock()
	b := &s.member.lender
	b.mu.Lock()
	defer b.mu.Unlock()
	if b.bank == nil || b.fenced {
		return nil
	}
	full := s.term == 0 || s.holder != b.bankID
	return &laburnumv1.SyncSlicesRequest{
		DataCentre: s.member.entry.settings.DataCentre,
		Holder:     b.bankID,
		Full:       full,
		Lines:      b.bank.Lines(full),
	}
}

// cancelIdleCall cancels the call in flight if it only waits for news and req has lines to report. It returns whether a
// call is in flight, cancelled or not.
func (s *sliceSync) cancelIdleCall(req *laburnumv1.SyncSlicesRequest) bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.cancel == nil {
		return false
	}
	if len(req.Lines) > 0 && !s.carriesReport {
		s.cancel()
	}
	return true
}

func (s *sliceSync) setCall(cancel context.CancelFunc) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.cancel = cancel
}

func (s *sliceSync) call(ctx context.Context, req *laburnumv1.SyncSlicesRequest) {
	s.mu.Lock()
	s.carriesReport = req.Full || len(req.Lines) > 0
	at := s.nextControl
	s.mu.Unlock()
	controls := s.member.entry.controls
	resp, err := controls[at%len(controls)].Slices.Sync(ctx, req)
	s.mu.Lock()
	s.cancel = nil
	if err != nil || !resp.Leader {
		if ctx.Err() == nil {
			s.nextControl, s.term = at+1, 0
		}
		s.mu.Unlock()
		return
	}
	// A new leader lacks what was reported to its predecessor: term 0 makes the next request a full one.
	s.holder = req.Holder
	if !req.Full && resp.Term != s.term {
		s.term = 0
	} else {
		s.term = resp.Term
	}
	s.mu.Unlock()
	s.member.applyTargets(req, resp)
}

// applyTargets passes the leader's acknowledgement and targets to the bank.
func (m *escrowMember) applyTargets(req *laburnumv1.SyncSlicesRequest, resp *laburnumv1.SyncSlicesResponse) {
	b := &m.lender
	b.mu.Lock()
	defer b.mu.Unlock()
	if b.bank == nil || b.bankID != req.Holder {
		return
	}
	b.bank.Acknowledge(req.Lines)
	for _, t := range resp.Targets {
		b.bank.SetTarget(m.entry.now(), t)
	}
	if len(resp.Targets) > 0 {
		b.notifyBorrowers()
	}
}
