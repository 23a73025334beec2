package entry

import (
	"context"
	"net/http"
	"time"

	"laburnumrouter/internal/request/admission"
	"laburnumrouter/internal/request/outcome"
	"laburnumrouter/internal/request/queue"
	"laburnumrouter/internal/request/routing"
)

// staleGrantPause is the wait before the scheduler is asked again after it granted an instance that has left the
// pool in this entry's view.
const staleGrantPause = 20 * time.Millisecond

// placement is the right to run one request on an instance: a grant of the pool's scheduler, checked against
// this entry's own view of the pool.
type placement struct {
	*routing.Slot
	requestID string
	scheduler string
	release   func(result routing.Result, took time.Duration)
}

// place acquires a slot and a permit from the pool's scheduler and logs the decision.
func (e *Entry) place(ctx context.Context, t *admission.Ticket) (*placement, *outcome.Refusal) {
	for {
		p, refusal := e.schedule(ctx, t)
		if refusal != nil {
			return nil, refusal
		}
		if e.router.BeginRequest(t.Pool, p.Instance, e.now()) {
			e.logPlacement(t, p)
			return p, nil
		}
		p.release(routing.Neutral, 0)
		e.scope.Counter("scheduler_behind").Inc(1)
		if e.now().Add(staleGrantPause).After(t.StartBy) || !pause(ctx, staleGrantPause) {
			return nil, outcome.Refuse(http.StatusServiceUnavailable, queue.ReasonNoCapacity, "the pool's instances are being moved").WithRetryAfter(time.Second)
		}
	}
}

// endPlacement releases the slot and the permit of a placement. It must be called exactly once.
func (e *Entry) endPlacement(p *placement, result routing.Result, took time.Duration) {
	e.router.EndRequest(p.Instance)
	p.release(result, took)
}

// schedule gets a grant from the pool's scheduler, which is the first entry of the data centre in rendezvous order that
// answers. This may be the entry itself.
func (e *Entry) schedule(ctx context.Context, t *admission.Ticket) (*placement, *outcome.Refusal) {
	for _, name := range e.schedulers.order(t.Pool, e.now()) {
		if name == e.settings.Name {
			break
		}
		p, refusal, err := e.schedulers.acquire(ctx, name, t, e.now())
		if err == nil {
			return p, refusal
		}
		if ctx.Err() != nil {
			return nil, outcome.Refuse(http.StatusServiceUnavailable, queue.ReasonNoCapacity, "the request ended while it waited")
		}
		e.log.Warn("scheduler does not answer; taking the next", "pool", t.Pool, "scheduler", name, "error", err)
	}
	grant, refusal := e.queue.Acquire(ctx, t)
	if refusal != nil {
		return nil, refusal
	}
	release := func(result routing.Result, took time.Duration) { grant.Release(result, took, e.now()) }
	return &placement{Slot: grant.Slot, requestID: grant.ID.String(), scheduler: e.settings.Name, release: release}, nil
}

func (e *Entry) logPlacement(t *admission.Ticket, p *placement) {
	if !e.log.IsInfo() {
		return
	}
	e.log.Info("routed", "id", p.requestID, "queue", t.Queue, "pool", t.Pool, "team", t.Workspace, "instance", p.Instance,
		"used", p.Used, "slots", p.Slots, "runner_up", p.RunnerUp, "reason", p.Reason, "scheduler", p.scheduler)
}

// pause waits for d; it returns false if ctx ended first.
func pause(ctx context.Context, d time.Duration) bool {
	timer := time.NewTimer(d)
	defer timer.Stop()
	select {
	case <-timer.C:
		return true
	case <-ctx.Done():
		return false
	}
}
