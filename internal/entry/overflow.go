package entry

import (
	"cmp"
	"context"
	"math/rand/v2"
	"net/http"
	"sync"
	"time"

	"laburnumrouter/internal/process/settings"
	"laburnumrouter/internal/request/admission"
	"laburnumrouter/internal/request/forward"
	"laburnumrouter/internal/request/outcome"
	"laburnumrouter/internal/request/queue"
)

const (
	// refusedPause is how long a data centre that refused a request for a pool is not asked again for that pool.
	refusedPause = 100 * time.Millisecond
	// unreachablePause is how long an entry that could not be reached, or did not answer, is not asked again.
	unreachablePause = time.Second
)

type dataCentrePool struct {
	dataCentre, pool string
}

// overflowTable holds the entries of other data centres to which requests may overflow. It is safe for
// concurrent use.
type overflowTable struct {
	entries map[string][]settings.Peer // by data centre, without the own one

	mu               sync.Mutex
	refusedUntil     map[dataCentrePool]time.Time
	unreachableUntil map[string]time.Time // by entry
	// unresponsive holds the entries that did not answer a request. Every unreachablePause one request is sent to
	// each of them, to find out whether it answers again.
	unresponsive map[string]bool
}

func newOverflowTable(own string, entries []settings.Peer) *overflowTable {
	h := &overflowTable{entries: make(map[string][]settings.Peer), refusedUntil: make(map[dataCentrePool]time.Time), unreachableUntil: make(map[string]time.Time), unresponsive: make(map[string]bool)}
	for _, p := range entries {
		if p.DataCentre != own {
			h.entries[p.DataCentre] = append(h.entries[p.DataCentre], p)
		}
	}
	return h
}

// hasDataCentres reports whether the settings list entries of other data centres.
func (h *overflowTable) hasDataCentres() bool { return len(h.entries) > 0 }

// targets returns one reachable entry of each data centre that has not refused a request for the pool within refusedPause.
// An unresponsive entry is returned at most once per unreachablePause.
func (h *overflowTable) targets(pool string, now time.Time) []settings.Peer {
	h.mu.Lock()
	defer h.mu.Unlock()
	var targets []settings.Peer
	for dataCentre, entries := range h.entries {
		if now.Before(h.refusedUntil[dataCentrePool{dataCentre, pool}]) {
			continue
		}
		first := rand.IntN(len(entries))
		for i := range entries {
			p := entries[(first+i)%len(entries)]
			if !now.Before(h.unreachableUntil[p.Name]) {
				if h.unresponsive[p.Name] {
					h.unreachableUntil[p.Name] = now.Add(unreachablePause)
				}
				targets = append(targets, p)
				break
			}
		}
	}
	return targets
}

// recordAnswer records that an entry has answered a request.
func (h *overflowTable) recordAnswer(p settings.Peer) {
	h.mu.Lock()
	defer h.mu.Unlock()
	if h.unresponsive[p.Name] {
		delete(h.unresponsive, p.Name)
		delete(h.unreachableUntil, p.Name)
	}
}

// recordNoAnswer records that an entry did not answer a request that was sent to it.
func (h *overflowTable) recordNoAnswer(p settings.Peer, now time.Time) {
	h.mu.Lock()
	defer h.mu.Unlock()
	h.unresponsive[p.Name] = true
	h.unreachableUntil[p.Name] = now.Add(unreachablePause)
}

// recordRefusal records that a request did not run at an entry: either the entry could not be reached, or it
// refused the request for the pool.
func (h *overflowTable) recordRefusal(p settings.Peer, pool string, refusal *outcome.Refusal, now time.Time) {
	h.mu.Lock()
	defer h.mu.Unlock()
	if refusal.Reason == forward.ReasonPeerUnreachable {
		h.unreachableUntil[p.Name] = now.Add(unreachablePause)
		return
	}
	h.refusedUntil[dataCentrePool{p.DataCentre, pool}] = now.Add(refusedPause)
}

// overflow forwards the request to another data centre that can start it at once. It returns a refusal with outcome
// not-run only if every data centre that was asked returned that outcome.
func (e *Entry) overflow(ctx context.Context, r *http.Request, t *admission.Ticket) (*openResponse, *outcome.Refusal) {
	refusal := outcome.Refuse(http.StatusServiceUnavailable, queue.ReasonNoCapacity, "no other data centre can start the request")
	if e.quorumContact.Established() && e.cutOff(e.now()) {
		return nil, refusal // on a link that drops packets, the request would end after overflowResponseTimeout with an unknown outcome
	}
	for _, p := range e.overflowEntries.targets(t.Pool, e.now()) {
		var resp *http.Response
		resp, refusal = e.forwarder.ForwardToPeer(ctx, r, t, p.Address, e.now())
		if refusal == nil {
			e.overflowEntries.recordAnswer(p)
			e.log.Info("overflowed", "queue", t.Queue, "pool", t.Pool, "team", t.Workspace, "data_centre", p.DataCentre, "entry", p.Name, "reason", "not started in this data centre")
			e.scope.Counter("overflowed").Inc(1)
			return &openResponse{resp: resp, close: func() { resp.Body.Close() }}, nil
		}
		if refusal.Outcome != outcome.NotRun {
			if refusal.Reason == forward.ReasonNoAnswer {
				e.overflowEntries.recordNoAnswer(p, e.now())
			}
			return nil, refusal
		}
		e.overflowEntries.recordRefusal(p, t.Pool, refusal, e.now())
		if !forward.PrepareRetry(r) {
			break
		}
	}
	return nil, refusal
}

// serveOverflow runs a request that overflowed from another data centre, where an entry admitted it and, if it has an
// idempotency key, recorded it. It is never forwarded again. Its permit and slot are acquired here, where the work runs.
func (e *Entry) serveOverflow(w http.ResponseWriter, r *http.Request) {
	w.WriteHeader(http.StatusProcessing) // confirms to the other entry within overflowResponseTimeout that the request arrived
	e.inboundOverflows.Add(1)
	defer e.inboundOverflows.Add(-1)
	if e.ready.Stopping() {
		e.refuse(w, nil, outcome.Refuse(http.StatusServiceUnavailable, "stopping", "this entry is stopping"))
		return
	}
	if refusal := e.refuseStarting(false); refusal != nil {
		e.refuse(w, nil, refusal)
		return
	}
	q := e.store.View().Queue(r.Header.Get(forward.HeaderQueue))
	if q == nil {
		e.refuse(w, nil, outcome.Refuse(http.StatusNotFound, "unknown-queue", "there is no such queue in this data centre yet"))
		return
	}
	t, refusal := forward.PeerTicket(r, q.Pool, int(q.MaxWaiting), e.now())
	if refusal != nil {
		e.refuse(w, nil, refusal)
		return
	}
	t.StartBy = e.now() // start it at once or refuse it: it keeps its place in the other data centre's queue
	r = forward.WithRetryableBody(forward.WithReadTimeout(w, r))
	ctx, cancel := context.WithDeadline(r.Context(), t.Deadline)
	defer cancel()
	a, refusal, unanswered := e.dispatchLocal(ctx, r, t)
	if refusal = cmp.Or(unanswered, refusal); refusal != nil {
		e.refuse(w, t, refusal)
		return
	}
	defer a.close()
	if err := forward.Copy(w, a.resp); err != nil {
		e.abort(t, err)
	}
}
