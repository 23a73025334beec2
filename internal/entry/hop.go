package entry

import (
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
	// refusedPause is how long a data centre that refused a pool's request is not asked again for the pool.
	refusedPause = 100 * time.Millisecond
	// unreachablePause is how long an entry that could not be reached is not asked again.
	unreachablePause = time.Second
)

type hopKey struct {
	dataCentre, pool string
}

// hopTable holds where requests may overflow to. It is safe for concurrent use.
type hopTable struct {
	entries map[string][]settings.Peer // by data centre, the own one left out

	mu     sync.Mutex
	pauses map[hopKey]time.Time
	down   map[string]time.Time // by entry
	// silent holds the entries that did not answer; one request a pause tries whether they do again.
	silent map[string]bool
}

func newHopTable(own string, entries []settings.Peer) *hopTable {
	h := &hopTable{entries: make(map[string][]settings.Peer), pauses: make(map[hopKey]time.Time), down: make(map[string]time.Time), silent: make(map[string]bool)}
	for _, p := range entries {
		if p.DataCentre != own {
			h.entries[p.DataCentre] = append(h.entries[p.DataCentre], p)
		}
	}
	return h
}

// any reports whether there are other data centres at all.
func (h *hopTable) any() bool { return len(h.entries) > 0 }

// targets returns one reachable entry of each data centre that did not refuse the pool lately.
func (h *hopTable) targets(pool string, now time.Time) []settings.Peer {
	h.mu.Lock()
	defer h.mu.Unlock()
	var targets []settings.Peer
	for dataCentre, entries := range h.entries {
		if now.Before(h.pauses[hopKey{dataCentre, pool}]) {
			continue
		}
		first := rand.IntN(len(entries))
		for i := range entries {
			p := entries[(first+i)%len(entries)]
			if !now.Before(h.down[p.Name]) {
				if h.silent[p.Name] {
					h.down[p.Name] = now.Add(unreachablePause)
				}
				targets = append(targets, p)
				break
			}
		}
	}
	return targets
}

// answered notes that an entry has answered a request.
func (h *hopTable) answered(p settings.Peer) {
	h.mu.Lock()
	defer h.mu.Unlock()
	if h.silent[p.Name] {
		delete(h.silent, p.Name)
		delete(h.down, p.Name)
	}
}

// unanswered notes that an entry did not answer a request that was sent.
func (h *hopTable) unanswered(p settings.Peer, now time.Time) {
	h.mu.Lock()
	defer h.mu.Unlock()
	h.silent[p.Name] = true
	h.down[p.Name] = now.Add(unreachablePause)
}

func (h *hopTable) refused(p settings.Peer, pool string, refusal *outcome.Refusal, now time.Time) {
	h.mu.Lock()
	defer h.mu.Unlock()
	if refusal.Reason == forward.ReasonPeerUnreachable {
		h.down[p.Name] = now.Add(unreachablePause)
		return
	}
	h.pauses[hopKey{p.DataCentre, pool}] = now.Add(refusedPause)
}

// overflow hands the request to another data centre that can start it at once. The refusal is not-run
// only if every data centre asked says so.
func (e *Entry) overflow(ctx context.Context, r *http.Request, t *admission.Ticket) (*answer, *outcome.Refusal) {
	refusal := outcome.Refuse(http.StatusServiceUnavailable, queue.ReasonNoCapacity, "no other data centre can start the request")
	if e.contact.Made() && e.cutOff(e.now()) {
		return nil, refusal // a silent link would hold the request until its deadline
	}
	for _, p := range e.hops.targets(t.Pool, e.now()) {
		var resp *http.Response
		resp, refusal = e.forwarder.Hop(ctx, r, t, p.Address, e.now())
		if refusal == nil {
			e.hops.answered(p)
			e.log.Info("overflowed", "queue", t.Queue, "pool", t.Pool, "team", t.Team, "data_centre", p.DataCentre, "entry", p.Name, "reason", "no slot here")
			e.scope.Counter("overflowed").Inc(1)
			return &answer{resp: resp, close: func() { resp.Body.Close() }}, nil
		}
		if refusal.Outcome != outcome.NotRun {
			if refusal.Reason == forward.ReasonNoAnswer {
				e.hops.unanswered(p, e.now())
			}
			return nil, refusal
		}
		e.hops.refused(p, t.Pool, refusal, e.now())
		if !forward.Renew(r) {
			break
		}
	}
	return nil, refusal
}

// serveHop runs a request that an entry of another data centre admitted and, if keyed, recorded. It is
// never handed on. The permit and the slot are taken here, where the work runs.
func (e *Entry) serveHop(w http.ResponseWriter, r *http.Request) {
	w.WriteHeader(http.StatusProcessing) // the other entry learns that the link is not silent
	e.hopping.Add(1)
	defer e.hopping.Add(-1)
	if e.ready.Stopping() {
		e.refuse(w, nil, outcome.Refuse(http.StatusServiceUnavailable, "stopping", "this entry is stopping"))
		return
	}
	if refusal := e.refuseBehind(false); refusal != nil {
		e.refuse(w, nil, refusal)
		return
	}
	q := e.store.View().Queue(r.Header.Get(forward.HeaderQueue))
	if q == nil {
		e.refuse(w, nil, outcome.Refuse(http.StatusNotFound, "unknown-queue", "there is no such queue in this data centre yet"))
		return
	}
	t, refusal := forward.HopTicket(r, q.Pool, int(q.MaxWaiting), e.now())
	if refusal != nil {
		e.refuse(w, nil, refusal)
		return
	}
	t.StartBy = e.now() // the other data centre keeps the place in its queue
	r = forward.Prepare(forward.Pace(w, r))
	ctx, cancel := context.WithDeadline(r.Context(), t.Deadline)
	defer cancel()
	a, refusal := e.dispatchHere(ctx, r, t)
	if refusal != nil {
		e.refuse(w, t, refusal)
		return
	}
	defer a.close()
	if err := forward.Copy(w, a.resp); err != nil {
		e.abort(t, err)
	}
}
