package entry

import (
	"context"
	"errors"
	"slices"
	"sync"
	"time"

	"laburnumrouter/internal/process/directory"
	"laburnumrouter/internal/process/viewsync"
	"laburnumrouter/internal/request/admission"
	"laburnumrouter/internal/request/routing"
)

const (
	connectionCheckInterval = 250 * time.Millisecond
	// headerWaitThreshold is how long a request waits for the header of its response before it is checked against the
	// instance's announcements.
	headerWaitThreshold = 1500 * time.Millisecond
	// listingDelay: an announcement that is received more than this long after the dispatch of a request lists the request
	// if it runs.
	listingDelay = 500 * time.Millisecond
	// idleConnLifetime is how long an unused connection is kept open.
	idleConnLifetime = 30 * time.Second
	// responseTransitTime is how long a response may take to arrive after an announcement no longer lists its request.
	responseTransitTime = time.Second
)

// errConnectionSilent is the cancellation cause of a request that its instance's announcements do not list.
var errConnectionSilent = errors.New("the instance does not list the request: its connection has gone silent")

// listingState says whether an instance's announcement lists a request as running.
type listingState int

const (
	listingUnknown listingState = iota // no announcement since that time accounts for the process that dispatched the request
	listingPresent
	listingAbsent
)

// requestListing returns whether the instance's latest announcement, if it was received after since, lists a request.
func (e *Entry) requestListing(instance, id string, since time.Time) (listingState, directory.Instance) {
	i, ok := e.directory.Get(instance)
	if !ok || !i.Heard.After(since) || !viewsync.AccountsFor(i.View, viewsync.DispatcherOf(id)) {
		return listingUnknown, i
	}
	if slices.Contains(i.View.Running, id) {
		return listingPresent, i
	}
	return listingAbsent, i
}

// responseHeaderWaits holds the requests that have waited longer than headerWaitThreshold for the header of their response.
// It is safe for concurrent use.
type responseHeaderWaits struct {
	after time.Duration // time from dispatch until a request is added

	mu      sync.Mutex
	waiting map[string]*responseHeaderWait
}

type responseHeaderWait struct {
	placement *placement
	sent      time.Time
	absentAt  time.Time // when the first announcement without the request was received; zero if none
	cancel    context.CancelCauseFunc
}

func newResponseHeaderWaits() *responseHeaderWaits {
	return &responseHeaderWaits{after: headerWaitThreshold, waiting: make(map[string]*responseHeaderWait)}
}

// add puts a request into the list once it has waited for w.after. The returned function removes it, or stops it from
// being added.
func (w *responseHeaderWaits) add(p *placement, sent time.Time, cancel context.CancelCauseFunc) (stop func()) {
	timer := time.AfterFunc(w.after, func() {
		w.mu.Lock()
		defer w.mu.Unlock()
		w.waiting[p.requestID] = &responseHeaderWait{placement: p, sent: sent, cancel: cancel}
	})
	return func() {
		if timer.Stop() {
			return
		}
		w.mu.Lock()
		defer w.mu.Unlock()
		delete(w.waiting, p.requestID)
	}
}

func (w *responseHeaderWaits) all() []*responseHeaderWait {
	w.mu.Lock()
	defer w.mu.Unlock()
	list := make([]*responseHeaderWait, 0, len(w.waiting))
	for _, x := range w.waiting {
		list = append(list, x)
	}
	return list
}

// connectionCheckLoop cancels requests whose response can no longer come, ends the placements of finished work
// and closes idle connections, until ctx ends.
func (e *Entry) connectionCheckLoop(ctx context.Context) error {
	return every(ctx, connectionCheckInterval, func() {
		for _, x := range e.awaitingHeader.all() {
			e.checkSilence(x)
		}
		e.releaseFinished(e.now())
		e.forwarder.CloseIdle(e.now().Add(-idleConnLifetime))
	})
}

// checkSilence cancels a request, and so gives up its connection, when two announcements of its instance do not list
// it and enough time lies between them for the response to have arrived.
func (e *Entry) checkSilence(x *responseHeaderWait) {
	state, i := e.requestListing(x.placement.Instance, x.placement.requestID, x.sent.Add(listingDelay))
	switch {
	case state == listingPresent:
		x.absentAt = time.Time{}
	case state == listingAbsent && x.absentAt.IsZero():
		x.absentAt = i.Heard
	case state == listingAbsent && i.Heard.Sub(x.absentAt) >= responseTransitTime:
		e.log.Warn("connection silent", "id", x.placement.requestID, "instance", x.placement.Instance, "waited", e.now().Sub(x.sent))
		e.scope.Counter("connections_silent").Inc(1)
		x.cancel(errConnectionSilent)
	}
}

// deferredRelease is a placement whose request has ended here but may still run at its instance.
type deferredRelease struct {
	placement *placement
	result    routing.Result
	took      time.Duration
	since     time.Time
	until     time.Time // latest time at which the work ends
}

// deferredReleaseList holds the placements that are released later. It is safe for concurrent use.
type deferredReleaseList struct {
	mu   sync.Mutex
	list []*deferredRelease
}

// deferRelease keeps the slot and the permit of a request that may still run, until releaseFinished ends its placement.
func (e *Entry) deferRelease(p *placement, t *admission.Ticket, result routing.Result, took time.Duration) {
	e.deferred.mu.Lock()
	defer e.deferred.mu.Unlock()
	e.deferred.list = append(e.deferred.list, &deferredRelease{placement: p, result: result, took: took, since: e.now(), until: t.Deadline})
}

// releaseFinished ends the deferred placements whose work is known to have finished.
func (e *Entry) releaseFinished(now time.Time) {
	var finished []*deferredRelease
	e.deferred.mu.Lock()
	e.deferred.list = slices.DeleteFunc(e.deferred.list, func(d *deferredRelease) bool {
		if !e.workFinished(d, now) {
			return false
		}
		finished = append(finished, d)
		return true
	})
	e.deferred.mu.Unlock()
	for _, d := range finished {
		e.endPlacement(d.placement, d.result, d.took)
	}
}

// workFinished reports whether the work of a deferred placement no longer runs: its instance does not list it, or
// has restarted under a later incarnation, or the request's deadline has passed.
func (e *Entry) workFinished(d *deferredRelease, now time.Time) bool {
	if !now.Before(d.until) {
		return true
	}
	state, i := e.requestListing(d.placement.Instance, d.placement.requestID, d.since.Add(listingDelay))
	return state == listingAbsent || (i.View != nil && i.View.Incarnation > d.placement.Incarnation)
}
