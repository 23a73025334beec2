package entry

import (
	"cmp"
	"context"
	"io"
	"math/rand/v2"
	"net/http"
	"time"

	"laburnumrouter/internal/request/admission"
	"laburnumrouter/internal/request/forward"
	"laburnumrouter/internal/request/outcome"
	"laburnumrouter/internal/request/queue"
	"laburnumrouter/internal/request/routing"
)

const (
	// overflowDelay is the wait for an instance of the own data centre before other data centres are asked.
	// It is a few times the cost of the round trip to another data centre.
	overflowDelay = 20 * time.Millisecond
	// overflowRetryInterval is the least wait between two rounds of asking other data centres; the wait is at most twice as long.
	overflowRetryInterval = 500 * time.Millisecond
	maxAttempts           = 3
	initialBackoff        = 5 * time.Millisecond
)

// openResponse is an instance's response whose body has not been read yet. close releases what the request holds.
type openResponse struct {
	resp  *http.Response
	close func()
}

// dispatch runs the request in this data centre. It asks the others if no instance here serves the pool or becomes free
// within overflowDelay, or if the queue refuses the request (see mayOverflow). A request that no other data centre could
// start waits here again, ordered by its original arrival time.
func (e *Entry) dispatch(ctx context.Context, r *http.Request, t *admission.Ticket) (*openResponse, *outcome.Refusal) {
	r = forward.WithRetryableBody(r)
	if !e.overflowEntries.hasDataCentres() {
		a, refusal, unanswered := e.dispatchLocal(ctx, r, t)
		return a, cmp.Or(unanswered, refusal)
	}
	first := *t
	first.StartBy = earlier(t.StartBy, e.now().Add(overflowDelay))
	if !e.router.HasLiveInstance(t.Pool, e.now()) {
		first.StartBy = e.now()
	}
	a, refusal, unanswered := e.dispatchLocal(ctx, r, &first)
	for refusal != nil && mayOverflow(refusal) {
		a, elsewhere := e.overflow(ctx, r, t)
		switch {
		case elsewhere == nil || elsewhere.Outcome != outcome.NotRun:
			return a, elsewhere
		case !forward.PrepareRetry(r):
			return nil, cmp.Or(unanswered, elsewhere)
		case unanswered != nil || !e.now().Before(t.StartBy) || ctx.Err() != nil:
			return nil, cmp.Or(unanswered, refusal)
		}
		again := *t
		again.InterruptWaitAt = e.now().Add(overflowRetryInterval + rand.N(overflowRetryInterval))
		a, refusal, unanswered = e.dispatchLocal(ctx, r, &again)
		if refusal == nil || refusal.Reason != queue.ReasonNoCapacity {
			return a, cmp.Or(unanswered, refusal)
		}
	}
	return a, cmp.Or(unanswered, refusal)
}

// mayOverflow reports whether another data centre may be able to start a request that was refused here.
func mayOverflow(r *outcome.Refusal) bool {
	switch r.Reason {
	case queue.ReasonNoCapacity, queue.ReasonTooLate, queue.ReasonQueueFull:
		return r.Outcome == outcome.NotRun
	}
	return false
}

// dispatchLocal runs the request on an instance of this data centre. It retries a request that did not run or
// that is idempotent, as long as the retry budget allows it and the body can be sent again. refusal is that of the last attempt.
// unanswered is that of an earlier attempt after which the request may have run: the outcome of the request is then unknown,
// whatever refused the last one.
func (e *Entry) dispatchLocal(ctx context.Context, r *http.Request, t *admission.Ticket) (a *openResponse, refusal, unanswered *outcome.Refusal) {
	e.retries.addToken()
	backoff := initialBackoff
	for attempt := 1; ; attempt++ {
		p, refusal := e.place(ctx, t)
		if refusal != nil {
			return nil, refusal, unanswered
		}
		a, refusal := e.run(ctx, r, t, p)
		if refusal == nil {
			return a, nil, nil
		}
		repeatable := refusal.Outcome == outcome.NotRun || t.Idempotent
		if attempt == maxAttempts || !repeatable || ctx.Err() != nil || !forward.PrepareRetry(r) || !e.retries.takeRetry() {
			return nil, refusal, unanswered
		}
		if refusal.Outcome != outcome.NotRun {
			unanswered = refusal
		}
		e.log.Info("retrying", "id", p.requestID, "queue", t.Queue, "team", t.Workspace, "instance", p.Instance, "attempt", attempt, "reason", refusal.Reason)
		e.scope.Counter("retried").Inc(1)
		retry := *t
		retry.AvoidInstance = p.Instance
		t = &retry
		if !pause(ctx, backoff/2+rand.N(backoff)) {
			return nil, refusal, unanswered
		}
		backoff *= 2
	}
}

// run sends the request to the instance of its placement. The placement ends with the response, or once it is
// known that the work no longer runs.
func (e *Entry) run(ctx context.Context, r *http.Request, t *admission.Ticket, p *placement) (*openResponse, *outcome.Refusal) {
	runCtx, cancel := runContext(ctx, t)
	sent := e.now()
	stop := e.awaitingHeader.add(p, sent, cancel)
	resp, refusal := e.forwarder.Send(runCtx, r, t, p.Address, p.requestID)
	stop()
	took := e.now().Sub(sent)
	if refusal == nil {
		body := &trackedBody{ReadCloser: resp.Body}
		resp.Body = body
		return &openResponse{resp: resp, close: func() {
			body.Close()
			cancel(nil)
			e.endResponse(t, p, resp.StatusCode, body, took)
		}}, nil
	}
	cancel(nil)
	switch {
	case refusal.Outcome == outcome.NotRun:
		e.endPlacement(p, routing.Failed, took)
	case ctx.Err() != nil:
		e.deferRelease(p, t, routing.Neutral, took)
	default:
		e.deferRelease(p, t, routing.Failed, took)
	}
	return nil, refusal
}

// trackedBody records how the reading of a response body ended.
type trackedBody struct {
	io.ReadCloser
	err error // io.EOF after the whole body
}

// Read implements io.Reader.
func (b *trackedBody) Read(p []byte) (int, error) {
	n, err := b.ReadCloser.Read(p)
	if err != nil {
		b.err = err
	}
	return n, err
}

// endResponse ends the placement of a request that was answered. Work may still run at the instance if its
// response was not read to the end; its placement then stays until the work is known to be over.
func (e *Entry) endResponse(t *admission.Ticket, p *placement, status int, body *trackedBody, took time.Duration) {
	result := routing.Answered
	if status >= http.StatusInternalServerError {
		result = routing.Failed
	}
	switch body.err {
	case io.EOF:
		e.endPlacement(p, result, took)
	case nil:
		e.deferRelease(p, t, routing.Neutral, took)
	default:
		e.deferRelease(p, t, routing.Failed, took)
	}
}

// runContext returns the context in which a dispatched request runs, which ends at the ticket's deadline. A request
// that is not idempotent continues when its caller disconnects, so that its outcome becomes known.
func runContext(ctx context.Context, t *admission.Ticket) (context.Context, context.CancelCauseFunc) {
	if !t.Idempotent {
		ctx = context.WithoutCancel(ctx)
	}
	ctx, cancelTimer := context.WithDeadline(ctx, t.Deadline)
	ctx, cancel := context.WithCancelCause(ctx)
	return ctx, func(cause error) { cancel(cause); cancelTimer() }
}

func earlier(a, b time.Time) time.Time {
	if a.Before(b) {
		return a
	}
	return b
}
