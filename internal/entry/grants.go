package entry

import (
	"context"
	"errors"
	"sync"
	"time"

	"connectrpc.com/connect"

	"laburnumrouter/internal/request/admission"
	"laburnumrouter/internal/request/queue"
	"laburnumrouter/internal/request/routing"
	laburnumv1 "laburnumrouter/proto/laburnum/v1"
)

// grantExpiryMargin is how long a grant is counted beyond the caller's deadline.
const grantExpiryMargin = time.Second

// acquireCall identifies one call of Acquire.
type acquireCall struct {
	entry       string
	incarnation uint64
	number      uint64
}

// issuedGrant is a grant that this entry issued to another one and that has not been returned.
type issuedGrant struct {
	grant   *queue.Grant
	call    acquireCall
	expires time.Time
}

// grantTable holds the grants that this entry, as scheduler, issued to others, and those that others hold from
// former schedulers. If the entry that got a grant is lost, the grant stays counted until the caller's deadline has
// passed, since its work may still run. It is safe for concurrent use.
type grantTable struct {
	mu      sync.Mutex
	issued  map[string]*issuedGrant                     // by request id
	calls   map[acquireCall]string                      // request id of the issued grant
	adopted map[string]map[string]*laburnumv1.HeldGrant // grants of former schedulers, by holding entry and id
}

func newGrantTable() *grantTable {
	return &grantTable{
		issued:  make(map[string]*issuedGrant),
		calls:   make(map[acquireCall]string),
		adopted: make(map[string]map[string]*laburnumv1.HeldGrant),
	}
}

func (b *grantTable) issue(g *queue.Grant, c acquireCall, expires time.Time) {
	b.mu.Lock()
	defer b.mu.Unlock()
	id := g.ID.String()
	b.issued[id] = &issuedGrant{grant: g, call: c, expires: expires}
	b.calls[c] = id
}

// take removes and returns the grant that was issued under a request id, or nil.
func (b *grantTable) take(id string) *queue.Grant {
	b.mu.Lock()
	defer b.mu.Unlock()
	return b.remove(id)
}

// remove does the work of take. The caller holds the lock.
func (b *grantTable) remove(id string) *queue.Grant {
	g := b.issued[id]
	if g == nil {
		return nil
	}
	delete(b.issued, id)
	delete(b.calls, g.call)
	return g.grant
}

// cancel removes and returns the grant that was issued to a call, or nil.
func (b *grantTable) cancel(c acquireCall) *queue.Grant {
	b.mu.Lock()
	defer b.mu.Unlock()
	return b.remove(b.calls[c])
}

// expire removes and returns the grants that have expired.
func (b *grantTable) expire(now time.Time) []*queue.Grant {
	b.mu.Lock()
	defer b.mu.Unlock()
	var list []*queue.Grant
	for id, g := range b.issued {
		if now.After(g.expires) {
			list = append(list, b.remove(id))
		}
	}
	return list
}

// setAdopted replaces the list of grants that an entry holds from former schedulers. It returns the grants that are
// new in the list and those that are no longer in it.
func (b *grantTable) setAdopted(entry string, held []*laburnumv1.HeldGrant) (added, gone []*laburnumv1.HeldGrant) {
	b.mu.Lock()
	defer b.mu.Unlock()
	before := b.adopted[entry]
	after := make(map[string]*laburnumv1.HeldGrant, len(held))
	for _, h := range held {
		after[h.Id] = h
		if before[h.Id] == nil {
			added = append(added, h)
		}
	}
	for id, h := range before {
		if after[id] == nil {
			gone = append(gone, h)
		}
	}
	b.adopted[entry] = after
	return added, gone
}

// size returns the number of issued grants that other entries hold.
func (b *grantTable) size() int {
	b.mu.Lock()
	defer b.mu.Unlock()
	return len(b.issued)
}

var errStopping = errors.New("this entry is stopping")

// schedulerServer serves the other entries of the data centre.
type schedulerServer struct {
	entry *Entry
}

// Acquire implements SchedulerService. A stopping entry issues no more grants.
func (s *schedulerServer) Acquire(ctx context.Context, req *laburnumv1.AcquireRequest) (*laburnumv1.AcquireResponse, error) {
	e := s.entry
	if e.ready.Stopping() {
		return nil, connect.NewError(connect.CodeUnavailable, errStopping)
	}
	t := ticketOf(req, e.now())
	grant, refusal := e.queue.Acquire(ctx, t)
	if refusal != nil {
		return &laburnumv1.AcquireResponse{Refusal: &laburnumv1.SlotRefusal{
			Status: uint32(refusal.Status), Reason: refusal.Reason, Detail: refusal.Detail, RetryAfterMs: wholeMilliseconds(refusal.RetryAfter),
		}}, nil
	}
	if ctx.Err() != nil {
		grant.Release(routing.Neutral, 0, e.now())
		return nil, connect.NewError(connect.CodeCanceled, ctx.Err())
	}
	e.grants.issue(grant, acquireCall{req.Entry, req.Incarnation, req.Call}, t.Deadline.Add(grantExpiryMargin))
	return &laburnumv1.AcquireResponse{Grant: &laburnumv1.SlotGrant{
		Id: grant.ID.String(), Instance: grant.Instance, Address: grant.Address, InstanceIncarnation: grant.Incarnation,
		Used: uint32(grant.Used), Slots: uint32(grant.Slots), RunnerUp: grant.RunnerUp, Reason: grant.Reason,
	}}, nil
}

func ticketOf(req *laburnumv1.AcquireRequest, now time.Time) *admission.Ticket {
	var interruptWaitAt time.Time
	if req.GiveWayMs > 0 {
		interruptWaitAt = now.Add(time.Duration(req.GiveWayMs) * time.Millisecond)
	}
	return &admission.Ticket{
		InterruptWaitAt: interruptWaitAt,
		Queue:           req.Queue,
		Pool:            req.Pool,
		Workspace:       req.Team,
		Urgent:          req.Urgent,
		ArrivedAt:       now.Add(-time.Duration(req.AgeMs) * time.Millisecond),
		StartBy:         now.Add(time.Duration(req.WaitMs) * time.Millisecond),
		Deadline:        now.Add(time.Duration(req.LeftMs) * time.Millisecond),
		MaxWaiting:      int(req.MaxWaiting),
		AvoidInstance:   req.Avoid,
	}
}

// Settle implements SchedulerService. A request that neither returns nor cancels anything carries the list of grants
// that the sender holds from former schedulers.
func (s *schedulerServer) Settle(_ context.Context, req *laburnumv1.SettleRequest) (*laburnumv1.SettleResponse, error) {
	e := s.entry
	for _, r := range req.Returned {
		if g := e.grants.take(r.Id); g != nil {
			g.Release(resultOf(r.Result), time.Duration(r.TookUs)*time.Microsecond, e.now())
		}
	}
	for _, number := range req.Cancelled {
		if g := e.grants.cancel(acquireCall{req.Entry, req.Incarnation, number}); g != nil {
			g.Release(routing.Neutral, 0, e.now())
		}
	}
	if len(req.Returned)+len(req.Cancelled) == 0 {
		e.adopt(req.Entry, req.Held)
	}
	return &laburnumv1.SettleResponse{}, nil
}

func resultOf(r laburnumv1.GrantResult) routing.Result {
	switch r {
	case laburnumv1.GrantResult_GRANT_RESULT_ANSWERED:
		return routing.Answered
	case laburnumv1.GrantResult_GRANT_RESULT_FAILED:
		return routing.Failed
	}
	return routing.Neutral
}

// adopt counts the slots of the grants that an entry holds from former schedulers.
func (e *Entry) adopt(entry string, held []*laburnumv1.HeldGrant) {
	added, gone := e.grants.setAdopted(entry, held)
	for _, h := range added {
		e.router.CountGrantedSlot(h.Pool, h.Instance)
	}
	for _, h := range gone {
		e.router.Return(h.Pool, h.Instance, routing.Neutral, 0, e.now())
	}
}

// grantLoop releases expired grants and reports the grants that this entry holds from former schedulers to the current
// ones, until ctx ends. A scheduler that got a list is sent an empty one when there is nothing left to report.
func (e *Entry) grantLoop(ctx context.Context) error {
	reported := make(map[string]bool)
	return every(ctx, heldReportInterval, func() {
		for _, g := range e.grants.expire(e.now()) {
			e.log.Warn("grant expired without word from its holder", "id", g.ID.String(), "instance", g.Instance)
			g.Release(routing.Neutral, 0, e.now())
		}
		moved := e.schedulers.grantsOfFormerSchedulers(e.now())
		for name := range reported {
			if moved[name] == nil {
				moved[name] = nil
			}
		}
		clear(reported)
		for name, held := range moved {
			e.reportHeld(ctx, name, held)
			if len(held) > 0 {
				reported[name] = true
			}
		}
	})
}

func (e *Entry) reportHeld(ctx context.Context, name string, held []*laburnumv1.HeldGrant) {
	if name == e.settings.Name {
		e.adopt(name, held)
		return
	}
	p := e.schedulers.peers[name]
	err := p.settle(ctx, &laburnumv1.SettleRequest{Entry: e.settings.Name, Incarnation: e.members.Incarnation(), Held: held})
	if err != nil {
		e.log.Debug("held grants not reported", "scheduler", name, "error", err)
	}
}
