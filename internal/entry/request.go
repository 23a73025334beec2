package entry

import (
	"context"
	"net/http"

	"laburnumrouter/internal/process/server"
	"laburnumrouter/internal/request/admission"
	"laburnumrouter/internal/request/forward"
	"laburnumrouter/internal/request/outcome"
)

// serveRequest takes a caller's request through admission, idempotency record, queue and forwarding.
func (e *Entry) serveRequest(w http.ResponseWriter, r *http.Request) {
	in := r
	r = forward.WithReadTimeout(w, r)
	if refusal := e.refuseStarting(admission.MayNeedRecord(r)); refusal != nil {
		e.refuse(w, nil, refusal)
		return
	}
	t, refusal := admission.Admit(e.store.View(), r, e.now())
	if refusal != nil {
		e.refuse(w, nil, refusal)
		return
	}
	if refusal := e.refuseCutOff(t, e.now()); refusal != nil {
		e.refuse(w, t, refusal)
		return
	}
	ctx, cancel := context.WithDeadline(r.Context(), t.Deadline)
	defer cancel()
	if t.RunsAtMostOnce() {
		e.serveKeyed(ctx, w, r, t)
		return
	}
	if refusal := receiveSmallBody(r); refusal != nil {
		e.refuse(w, t, refusal)
		return
	}
	server.PassBody(in)
	a, refusal := e.dispatch(ctx, r, t)
	if refusal != nil {
		e.refuse(w, t, refusal)
		return
	}
	defer a.close()
	e.scope.Counter("answered").Inc(1)
	if err := forward.Copy(w, a.resp); err != nil {
		e.abort(t, err)
	}
}

func (e *Entry) refuse(w http.ResponseWriter, t *admission.Ticket, refusal *outcome.Refusal) {
	args := []any{"reason", refusal.Reason, "outcome", string(refusal.Outcome), "status", refusal.Status}
	if t != nil {
		args = append(args, "queue", t.Queue, "team", t.Workspace)
	}
	if refusal.Outcome == outcome.Unknown {
		args = append(args, "detail", refusal.Detail)
	}
	e.log.Info("refused", args...)
	e.scope.Tagged(map[string]string{"reason": refusal.Reason}).Counter("refused").Inc(1)
	refusal.Write(w)
}

// abort closes the caller's connection with an error, so that a partial response is never taken for a complete one.
func (e *Entry) abort(t *admission.Ticket, err error) {
	e.log.Warn("answer cut", "queue", t.Queue, "team", t.Workspace, "error", err)
	e.scope.Counter("cut").Inc(1)
	panic(http.ErrAbortHandler)
}
