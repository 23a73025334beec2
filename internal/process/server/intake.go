package server

import (
	"context"
	"net"
	"net/http"
	"sync"
	"sync/atomic"
	"time"

	"github.com/hashicorp/go-hclog"
	"github.com/uber-go/tally/v4"
)

const (
	// sweepInterval is the time between checks for requests that take too long to be received, and between log lines.
	sweepInterval = 500 * time.Millisecond
	// answerTime is the time in which a client whose request is cut off can take its answer.
	answerTime = time.Second
	// maxAnswered is the number of clients that are answered at the same time before they are closed; others are closed at once.
	maxAnswered = 32
	// headroom is the part of a bound that is freed beyond the excess, so that not every new connection needs a choice.
	headroom = 32
	// futileTime is how long no choice is made after one that freed too little.
	futileTime = 20 * time.Millisecond
	// overhang is the part of the bound on bytes that connections which are being closed may hold, beyond the bound, before new ones
	// wait for them to end, at most for endTime.
	overhang    = 8
	endTime     = 100 * time.Millisecond
	endInterval = time.Millisecond
)

// Reasons for which connections are closed, in logs and metrics.
const (
	reasonBytes = "bytes"
	reasonConns = "connections"
	reasonSlow  = "slow"
)

// Intake bounds what the clients of a process hold at the same time, and for how long: memory, connections and requests that
// aren't received in full. At a bound it closes connections (choose). It is safe for concurrent use.
type Intake struct {
	limits Limits
	bound  receiveBound
	log    hclog.Logger
	scope  tally.Scope
	start  time.Time
	held   atomic.Int64 // bytes of all holders

	mu          sync.Mutex
	holders     map[*holder]bool
	conns       int   // connections among the holders
	leaving     int64 // bytes of evicted holders
	leavingConn int
	futileUntil time.Duration
	listeners   []*listenerCount
}

// listenerCount counts what was closed on a listener since the last report. It is guarded by Intake.mu.
type listenerCount struct {
	name    string
	evicted map[string]int64 // by reason
	refused int64
}

// NewIntake returns an intake. Its metrics go to scope.
func NewIntake(limits Limits, log hclog.Logger, scope tally.Scope) *Intake {
	log.Info("limits for clients", "bytes", limits.Bytes, "connections", limits.Conns, "receive_timeout", limits.ReceiveTimeout)
	return &Intake{
		limits: limits, bound: receiveBound{limits.ReceiveTimeout, receiveRate}, log: log, scope: scope, start: time.Now(),
		holders: make(map[*holder]bool),
	}
}

func (t *Intake) now() time.Duration { return time.Since(t.start) }

// Public makes a server that isn't serving yet bound its clients, and returns the listener on which it must serve. name stands for
// the listener in logs and metrics. The server's ConnState and ConnContext must not be set.
func (t *Intake) Public(name string, s *http.Server, l net.Listener) net.Listener {
	s.Handler = t.handler(s.Handler)
	s.ConnState = func(c net.Conn, state http.ConnState) {
		tracked := trackedOf(c)
		switch {
		case tracked == nil:
		case state == http.StateIdle:
			tracked.idle()
		case state == http.StateClosed:
			t.remove(&tracked.holder)
		}
	}
	s.ConnContext = func(ctx context.Context, c net.Conn) context.Context {
		return context.WithValue(ctx, trackedKey{}, trackedOf(c))
	}
	return t.listen(name, l, false)
}

// Trusted returns a listener for the system's own processes: their connections count, and are never closed.
func (t *Intake) Trusted(name string, l net.Listener) net.Listener { return t.listen(name, l, true) }

func (t *Intake) listen(name string, l net.Listener, trusted bool) net.Listener {
	count := &listenerCount{name: name, evicted: make(map[string]int64)}
	t.mu.Lock()
	t.listeners = append(t.listeners, count)
	t.mu.Unlock()
	if tcp, ok := l.(*net.TCPListener); ok && !trusted {
		if err := limitReceiveBuffer(tcp); err != nil {
			t.log.Warn("the receive buffers of clients are not limited", "listener", name, "error", err)
		}
	}
	return &trackedListener{Listener: l, intake: t, count: count, trusted: trusted}
}

// admit adds a holder, for which others may be evicted. It returns false if there is no room for it.
func (t *Intake) admit(h *holder) bool {
	h.since.Store(int64(t.now()))
	h.bytes.Store(h.base + requestCost)
	held := t.held.Add(h.base + requestCost)
	t.mu.Lock()
	t.holders[h] = true
	if h.conn != nil {
		t.conns++
	}
	full := t.conns-t.leavingConn > t.limits.Conns || held-t.leaving > t.limits.Bytes
	t.mu.Unlock()
	if full {
		t.relieve(h)
	}
	if !full || h.trusted {
		return true
	}
	t.mu.Lock()
	full = t.conns > t.limits.Conns || t.held.Load()-t.leaving > t.limits.Bytes
	if full {
		h.count.refused++
	}
	t.mu.Unlock()
	return !full
}

// remove forgets a holder.
func (t *Intake) remove(h *holder) {
	t.mu.Lock()
	defer t.mu.Unlock()
	if !t.holders[h] {
		return
	}
	t.closeLocked(h)
	delete(t.holders, h)
	h.removed.Store(true)
	t.held.Add(-h.bytes.Swap(0))
	t.leaving -= h.leaving
}

// closed records that a connection has no descriptor any more. What it holds counts until it is removed.
func (t *Intake) closed(h *holder) {
	t.mu.Lock()
	defer t.mu.Unlock()
	if t.holders[h] {
		t.closeLocked(h)
	}
}

func (t *Intake) closeLocked(h *holder) {
	if h.conn == nil || h.closed {
		return
	}
	h.closed = true
	t.conns--
	if h.evictedAt != 0 {
		t.leavingConn--
	}
}

// awaitRoom waits a moment while connections that are being closed still hold much memory.
func (t *Intake) awaitRoom() {
	for waited := time.Duration(0); waited < endTime && t.overhangs(); waited += endInterval {
		time.Sleep(endInterval)
	}
}

func (t *Intake) overhangs() bool {
	if t.held.Load() <= t.limits.Bytes {
		return false
	}
	t.mu.Lock()
	defer t.mu.Unlock()
	return t.leaving > t.limits.Bytes/overhang
}

// grow adds n bytes of a request to a holder. It returns false if there is no room for them; the request is to be refused then.
func (t *Intake) grow(h *holder, n int64) bool {
	if t.charge(h, n) {
		return true
	}
	t.mu.Lock()
	defer t.mu.Unlock()
	if h.evictedAt == 0 {
		h.count.refused++
	}
	return false
}

// charge adds n bytes to a holder, for which others may be evicted. It returns false if the bound is exceeded nevertheless.
func (t *Intake) charge(h *holder, n int64) bool {
	h.bytes.Add(n)
	held := t.held.Add(n)
	if h.removed.Load() { // a read that was under way
		t.held.Add(-h.bytes.Swap(0))
		return false
	}
	if held <= t.limits.Bytes {
		return true
	}
	t.mu.Lock()
	alone := t.alone(h)
	t.mu.Unlock()
	if alone {
		return true
	}
	t.relieve(nil)
	if h.current() == stageEvicted {
		return false
	}
	t.mu.Lock()
	defer t.mu.Unlock()
	return t.held.Load()-t.leaving <= t.limits.Bytes
}

// release gives up n bytes of a holder.
func (t *Intake) release(h *holder, n int64) {
	t.mu.Lock()
	defer t.mu.Unlock()
	if t.holders[h] {
		h.bytes.Add(-n)
		t.held.Add(-n)
	}
}

// shed gives up what a holder held for a request that has been answered.
func (t *Intake) shed(h *holder) {
	t.mu.Lock()
	defer t.mu.Unlock()
	if !t.holders[h] {
		return
	}
	n := h.bytes.Load() - h.base
	h.received.Store(0)
	h.bytes.Add(-n)
	t.held.Add(-n)
	freed := min(n, h.leaving)
	h.leaving -= freed
	t.leaving -= freed
}

// alone reports whether a holder's body is the only one, which may be larger than the bound. t.mu is held.
func (t *Intake) alone(h *holder) bool {
	own := h.received.Load()
	if own*t.limits.BodyCost < t.limits.Bytes/2 {
		return false
	}
	for other := range t.holders {
		if other != h && other.evictedAt == 0 && other.received.Load() > 0 {
			return false
		}
	}
	return true
}

// relieve evicts holders until the bounds are kept, with some headroom. It spares one.
func (t *Intake) relieve(spared *holder) {
	now := t.now()
	t.mu.Lock()
	over := excess{t.held.Load() - t.leaving - t.limits.Bytes, t.conns - t.leavingConn - t.limits.Conns}
	if over.none() || now < t.futileUntil {
		t.mu.Unlock()
		return
	}
	reason := reasonBytes
	if over.bytes > 0 {
		over.bytes += t.limits.Bytes / headroom
	} else {
		reason = reasonConns
	}
	if over.conns > 0 {
		over.conns += t.limits.Conns / headroom
	}
	holders, states := t.states(spared)
	chosen := choose(states, now, over)
	if len(chosen) == 0 {
		t.futileUntil = now + futileTime
	}
	var evicted []*holder
	for _, i := range chosen {
		if h := holders[i]; t.evict(h, states[i].stage, reason, now) {
			evicted = append(evicted, h)
		}
	}
	// Descriptors are free only once connections are closed.
	closeAll := over.conns > 0 || t.leavingConn > maxAnswered
	t.mu.Unlock()
	for _, h := range evicted {
		h.interrupt(closeAll)
	}
}

// states returns the holders but one, and what a choice needs of them. t.mu is held.
func (t *Intake) states(spared *holder) ([]*holder, []holding) {
	holders := make([]*holder, 0, len(t.holders))
	states := make([]holding, 0, len(t.holders))
	for h := range t.holders {
		if h != spared && !h.closed {
			holders, states = append(holders, h), append(states, h.holding())
		}
	}
	return holders, states
}

// evict marks a holder as evicted unless its stage has changed. t.mu is held.
func (t *Intake) evict(h *holder, seen stage, reason string, now time.Duration) bool {
	if !h.stage.CompareAndSwap(int32(seen), int32(stageEvicted)) {
		return false
	}
	h.evictedFrom, h.evictedAt, h.leaving = seen, now, h.bytes.Load()
	t.leaving += h.leaving
	if h.conn != nil && !h.closed {
		t.leavingConn++
	}
	h.count.evicted[reason]++
	return true
}

// Run closes what takes too long and reports counts until ctx ends.
func (t *Intake) Run(ctx context.Context) {
	ticker := time.NewTicker(sweepInterval)
	defer ticker.Stop()
	for {
		select {
		case <-ctx.Done():
			return
		case <-ticker.C:
			t.sweep()
			t.report()
		}
	}
}

// sweep evicts holders whose request takes too long to be received, and closes evicted ones that haven't ended.
func (t *Intake) sweep() {
	now := t.now()
	var slow, ended []*holder
	t.mu.Lock()
	for h := range t.holders {
		state := h.holding()
		switch {
		case h.evictedAt != 0 && now-h.evictedAt > answerTime:
			ended = append(ended, h)
		case t.slow(h, &state, now) && t.evict(h, state.stage, reasonSlow, now):
			slow = append(slow, h)
		}
	}
	t.mu.Unlock()
	for _, h := range slow {
		h.interrupt(false)
	}
	for _, h := range ended {
		h.interrupt(true)
	}
}

func (t *Intake) slow(h *holder, state *holding, now time.Duration) bool {
	return t.bound.exceeded(state, h.received.Load(), now) || t.bound.untaken(state, h.written.Load(), now)
}

// report updates the metrics and logs what was closed since the last report.
func (t *Intake) report() {
	conns, receiving := make(map[string]int), make(map[string]int)
	t.mu.Lock()
	defer t.mu.Unlock()
	for h := range t.holders {
		if h.conn != nil {
			conns[h.count.name]++
		}
		if s := h.current(); s == stageHeader || s == stageBody {
			receiving[h.count.name]++
		}
	}
	t.scope.Gauge("clients_held_bytes").Update(float64(t.held.Load()))
	for _, l := range t.listeners {
		scope := t.scope.Tagged(map[string]string{"listener": l.name})
		scope.Gauge("clients_connections").Update(float64(conns[l.name]))
		scope.Gauge("clients_receiving").Update(float64(receiving[l.name]))
		t.reportClosed(l, scope)
	}
}

func (t *Intake) reportClosed(l *listenerCount, scope tally.Scope) {
	if len(l.evicted) == 0 && l.refused == 0 {
		return
	}
	t.log.Warn("clients closed", "listener", l.name, "bytes", l.evicted[reasonBytes], "connections", l.evicted[reasonConns],
		"slow", l.evicted[reasonSlow], "refused", l.refused, "open", t.conns, "held_bytes", t.held.Load())
	for reason, n := range l.evicted {
		scope.Tagged(map[string]string{"reason": reason}).Counter("clients_evicted").Inc(n)
	}
	scope.Counter("clients_refused").Inc(l.refused)
	clear(l.evicted)
	l.refused = 0
}
