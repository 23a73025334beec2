package entry

import (
	"context"
	"hash/fnv"
	"sort"
	"sync"
	"sync/atomic"
	"time"

	"laburnumrouter/internal/connection/peer"
	"laburnumrouter/internal/process/membership"
	"laburnumrouter/internal/request/admission"
	"laburnumrouter/internal/request/outcome"
	"laburnumrouter/internal/request/routing"
	laburnumv1 "laburnumrouter/proto/laburnum/v1"
)

const (
	// schedulerRetryPause is how long an entry that failed as scheduler is not asked again.
	schedulerRetryPause = time.Second
	// acquireMargin is how long after the end of the wait for dispatch (Ticket.WaitUntil) a scheduler's answer may arrive.
	acquireMargin = 500 * time.Millisecond
	// heldReportInterval is the interval at which grants of former schedulers are reported to the current ones.
	heldReportInterval = 500 * time.Millisecond
	settleRetryPause   = 100 * time.Millisecond
)

// schedulers is an entry's access to the schedulers of its data centre. The scheduler of a pool is the
// live entry that comes first by rendezvous hash. Entries may disagree on which of them are live; a pool then
// has two schedulers for a while, each of which counts only the slots that it knows of. It is safe for
// concurrent use.
type schedulers struct {
	self          string
	members       *membership.Table
	ownDataCentre string
	peers         map[string]*schedulerPeer
	lastCall      atomic.Uint64 // number of the last Acquire call
}

// schedulerPeer holds the grants that this entry got from one scheduler, and the returned grants and cancelled calls that
// it has yet to report to that scheduler.
type schedulerPeer struct {
	peer *peer.Peer
	wake chan struct{}

	mu             sync.Mutex
	pausedUntil    time.Time // not asked as scheduler until then
	returned       []*laburnumv1.ReturnedGrant
	cancelledCalls []uint64                         // numbers of Acquire calls
	held           map[string]*laburnumv1.HeldGrant // by request id
}

func newSchedulers(self, dataCentre string, members *membership.Table, entries []*peer.Peer) *schedulers {
	s := &schedulers{self: self, ownDataCentre: dataCentre, members: members, peers: make(map[string]*schedulerPeer)}
	for _, p := range entries {
		if p.DataCentre == dataCentre {
			s.peers[p.Name] = &schedulerPeer{peer: p, wake: make(chan struct{}, 1), held: make(map[string]*laburnumv1.HeldGrant)}
		}
	}
	return s
}

// order returns the live entries of the data centre, this entry among them, in the order in which they are asked to
// schedule a pool.
func (s *schedulers) order(pool string, now time.Time) []string {
	if len(s.peers) == 0 {
		return []string{s.self}
	}
	names := []string{s.self}
	for _, m := range s.members.DataCentre(s.ownDataCentre) {
		p := s.peers[m.Name]
		if p != nil && m.Liveness(now) == membership.Alive && !p.paused(now) {
			names = append(names, m.Name)
		}
	}
	sort.Slice(names, func(i, j int) bool { return rendezvous(pool, names[i]) > rendezvous(pool, names[j]) })
	return names
}

func rendezvous(pool, entry string) uint64 {
	h := fnv.New64a()
	_, _ = h.Write([]byte(entry))
	_, _ = h.Write([]byte{0})
	_, _ = h.Write([]byte(pool))
	x := h.Sum64()
	x ^= x >> 33
	x *= 0xff51afd7ed558ccd
	return x ^ x>>33
}

func (p *schedulerPeer) paused(now time.Time) bool {
	p.mu.Lock()
	defer p.mu.Unlock()
	return now.Before(p.pausedUntil)
}

// acquire asks a peer for a grant. An error means that the peer neither granted nor refused the request; the peer is then
// told that the call is cancelled, in case it issued a grant for it.
func (s *schedulers) acquire(ctx context.Context, name string, t *admission.Ticket, now time.Time) (*placement, *outcome.Refusal, error) {
	p := s.peers[name]
	call := s.lastCall.Add(1)
	ctx, cancel := context.WithDeadline(ctx, t.WaitUntil().Add(acquireMargin))
	defer cancel()
	resp, err := p.peer.Scheduler.Acquire(ctx, s.request(t, call, now))
	if err != nil {
		p.recordCancelled(call, ctx.Err() == nil, now)
		return nil, nil, err
	}
	if resp.Grant == nil {
		return nil, refusalOf(resp.Refusal), nil
	}
	return p.addGrant(t.Pool, resp.Grant), nil, nil
}

func (s *schedulers) request(t *admission.Ticket, call uint64, now time.Time) *laburnumv1.AcquireRequest {
	interruptWaitMs := uint32(0)
	if !t.InterruptWaitAt.IsZero() {
		interruptWaitMs = max(1, wholeMilliseconds(t.InterruptWaitAt.Sub(now)))
	}
	return &laburnumv1.AcquireRequest{
		GiveWayMs:   interruptWaitMs,
		Entry:       s.self,
		Incarnation: s.members.Incarnation(),
		Pool:        t.Pool,
		Queue:       t.Queue,
		Team:        t.Workspace,
		Urgent:      t.Urgent,
		WaitMs:      wholeMilliseconds(t.StartBy.Sub(now)),
		AgeMs:       wholeMilliseconds(now.Sub(t.ArrivedAt)),
		LeftMs:      wholeMilliseconds(t.Deadline.Sub(now)),
		MaxWaiting:  uint32(t.MaxWaiting),
		Avoid:       t.AvoidInstance,
		Call:        call,
	}
}

func wholeMilliseconds(d time.Duration) uint32 { return uint32(max(0, d.Milliseconds())) }

func refusalOf(r *laburnumv1.SlotRefusal) *outcome.Refusal {
	return &outcome.Refusal{
		Status: int(r.GetStatus()), Outcome: outcome.NotRun, Reason: r.GetReason(), Detail: r.GetDetail(),
		RetryAfter: time.Duration(r.GetRetryAfterMs()) * time.Millisecond,
	}
}

// recordCancelled notes a cancelled call, to be reported to the peer. If the call ended because the peer failed, the peer
// is not asked again for schedulerRetryPause.
func (p *schedulerPeer) recordCancelled(call uint64, peerFailed bool, now time.Time) {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.cancelledCalls = append(p.cancelledCalls, call)
	if peerFailed {
		p.pausedUntil = now.Add(schedulerRetryPause)
	}
	p.signal()
}

func (p *schedulerPeer) addGrant(pool string, g *laburnumv1.SlotGrant) *placement {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.held[g.Id] = &laburnumv1.HeldGrant{Id: g.Id, Pool: pool, Instance: g.Instance}
	slot := &routing.Slot{
		Pool: pool, Instance: g.Instance, Address: g.Address, Incarnation: g.InstanceIncarnation,
		Used: int(g.Used), Slots: int(g.Slots), RunnerUp: g.RunnerUp, Reason: g.Reason,
	}
	release := func(result routing.Result, took time.Duration) { p.returnGrant(g.Id, result, took) }
	return &placement{Slot: slot, requestID: g.Id, scheduler: p.peer.Name, release: release}
}

func (p *schedulerPeer) returnGrant(id string, result routing.Result, took time.Duration) {
	p.mu.Lock()
	defer p.mu.Unlock()
	if p.held[id] == nil {
		return
	}
	delete(p.held, id)
	p.returned = append(p.returned, &laburnumv1.ReturnedGrant{Id: id, Result: protoResults[result], TookUs: uint64(took.Microseconds())})
	p.signal()
}

var protoResults = map[routing.Result]laburnumv1.GrantResult{
	routing.Answered: laburnumv1.GrantResult_GRANT_RESULT_ANSWERED,
	routing.Failed:   laburnumv1.GrantResult_GRANT_RESULT_FAILED,
	routing.Neutral:  laburnumv1.GrantResult_GRANT_RESULT_UNUSED,
}

// signal wakes the settle loop of the peer.
func (p *schedulerPeer) signal() {
	select {
	case p.wake <- struct{}{}:
	default:
	}
}

// takePending returns what has yet to be reported to the peer and clears it; nil if there is nothing.
func (p *schedulerPeer) takePending(self string, incarnation uint64) *laburnumv1.SettleRequest {
	p.mu.Lock()
	defer p.mu.Unlock()
	if len(p.returned)+len(p.cancelledCalls) == 0 {
		return nil
	}
	req := &laburnumv1.SettleRequest{Entry: self, Incarnation: incarnation, Returned: p.returned, Cancelled: p.cancelledCalls}
	p.returned, p.cancelledCalls = nil, nil
	return req
}

// requeue puts back a report that did not reach the peer, to be sent again.
func (p *schedulerPeer) requeue(req *laburnumv1.SettleRequest) {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.returned = append(req.Returned, p.returned...)
	p.cancelledCalls = append(req.Cancelled, p.cancelledCalls...)
}

// settleLoop reports returned grants and cancelled calls to a peer until ctx ends. What is added while a call is in
// flight goes with the next one.
func (s *schedulers) settleLoop(ctx context.Context, p *schedulerPeer) error {
	for {
		select {
		case <-p.wake:
		case <-ctx.Done():
			return nil
		}
		req := p.takePending(s.self, s.members.Incarnation())
		if req == nil {
			continue
		}
		if err := p.settle(ctx, req); err != nil {
			p.requeue(req)
			p.signal()
			pause(ctx, settleRetryPause)
		}
	}
}

func (p *schedulerPeer) settle(ctx context.Context, req *laburnumv1.SettleRequest) error {
	ctx, cancel := context.WithTimeout(ctx, callTimeout)
	defer cancel()
	_, err := p.peer.Scheduler.Settle(ctx, req)
	return err
}

// grantsOfFormerSchedulers returns the grants that this entry got from former schedulers, grouped by the current scheduler
// of their pool.
func (s *schedulers) grantsOfFormerSchedulers(now time.Time) map[string][]*laburnumv1.HeldGrant {
	moved := make(map[string][]*laburnumv1.HeldGrant)
	for name, p := range s.peers {
		for _, h := range p.heldGrants() {
			if present := s.order(h.Pool, now)[0]; present != name {
				moved[present] = append(moved[present], h)
			}
		}
	}
	return moved
}

func (p *schedulerPeer) heldGrants() []*laburnumv1.HeldGrant {
	p.mu.Lock()
	defer p.mu.Unlock()
	list := make([]*laburnumv1.HeldGrant, 0, len(p.held))
	for _, h := range p.held {
		list = append(list, h)
	}
	return list
}
