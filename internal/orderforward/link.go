package orderforward

import (
	"context"
	"errors"
	"io"
	"sync"
	"sync/atomic"
	"time"

	"connectrpc.com/connect"

	"laburnumrouter/internal/process/boottime"
	laburnumv1 "laburnumrouter/proto/laburnum/v1"
	"laburnumrouter/proto/laburnum/v1/laburnumv1connect"
)

const (
	// openTimeout bounds the time until a new stream's first mark arrives.
	openTimeout = time.Second
	// suspectAfter is the silence after which a link gets no new calls, and holds and stops on it are given up, so that they
	// can be repeated within the caller's 400 ms. A forwarder sends a mark every 50 ms, or later if it is short of CPU time.
	suspectAfter = 150 * time.Millisecond
	// silentAfter is the silence after which a stream is closed. Until then, calls in progress may still be answered.
	silentAfter = 400 * time.Millisecond
	// keepAliveInterval is the longest time between batches to a forwarder.
	keepAliveInterval = 250 * time.Millisecond
	// maxQueuedCalls bounds the calls that wait for being written to one stream.
	maxQueuedCalls = 1024
	// maxPendingCalls bounds the calls without a result on one stream.
	maxPendingCalls = 2048
	// minBudget is the least time left with which a call is forwarded. The two batch delays take up to 10 ms of it.
	minBudget = 30 * time.Millisecond
	// inlineSpecsFor is how long starts carry their specs after the forwarder's ledger lacked one.
	inlineSpecsFor = 2 * time.Second
)

// disposition tells what became of a forwarded call.
type disposition int

const (
	// answered: the forwarder reported a result.
	answered disposition = iota
	// notSent: the order was certainly not sent to the backend server.
	notSent
	// unanswered: the order may have been or may still be executed.
	unanswered
)

// pendingCall is a call that waits for its result.
type pendingCall struct {
	message *laburnumv1.OrderCall
	spec    string
	// budget is what the caller had left when it queued the call.
	budget time.Duration
	// sent is set once the call belongs to a batch that is being written. Guarded by link.mu.
	sent bool
	// done receives one value when result and how are set.
	done   chan struct{}
	how    disposition
	result *laburnumv1.OrderResult // set if how is answered
}

var callPool = sync.Pool{New: func() any { return &pendingCall{done: make(chan struct{}, 1)} }}

// finish sets the outcome. The caller has removed the call from link.pending, so no other outcome follows.
func (p *pendingCall) finish(how disposition, result *laburnumv1.OrderResult) {
	p.how, p.result = how, result
	p.done <- struct{}{}
}

type bidiStream = connect.BidiStreamForClientSimple[laburnumv1.OrderBatch, laburnumv1.OrderResults]

// link is the stream to one forwarder. A link that has failed is not used again; another takes its place.
type link struct {
	name    string
	address string
	term    uint64
	cancel  context.CancelFunc
	openAt  time.Duration
	stats   *stats
	mayLead func() bool
	// inUse is set while the link is in the client's table. Only Client.Run uses it.
	inUse bool

	mark      atomic.Int64 // newest mark, in microseconds; 0 before the first
	heardAt   atomic.Int64 // boottime in nanoseconds
	writingAt atomic.Int64 // boottime at which the current write began; 0 if there is none
	sentAt    atomic.Int64 // boottime of the last batch
	inline    atomic.Int64 // boottime until which starts carry their specs
	stopping  atomic.Bool  // the forwarder has said that it stops

	mu        sync.Mutex
	failed    string // reason; empty while the link is usable
	lastCall  uint64
	queue     []*pendingCall
	queuedAt  time.Duration // when the first call in queue was queued
	pending   map[uint64]*pendingCall
	cancelled []uint64

	wake, full chan struct{}
}

// openLink opens a stream. The link is usable once it has a mark.
func openLink(m Member, term uint64, client laburnumv1connect.OrderServiceClient, stats *stats, mayLead func() bool) *link {
	ctx, cancel := context.WithCancel(context.Background())
	now := boottime.Now()
	l := &link{
		name: m.Name, address: m.Address, term: term, cancel: cancel, openAt: now, stats: stats, mayLead: mayLead,
		pending: make(map[uint64]*pendingCall), wake: make(chan struct{}, 1), full: make(chan struct{}, 1),
	}
	l.heardAt.Store(int64(now))
	go l.run(ctx, client)
	return l
}

func (l *link) run(ctx context.Context, client laburnumv1connect.OrderServiceClient) {
	stream, err := client.Forward(ctx)
	if err != nil {
		l.fail(err.Error())
		return
	}
	go l.write(ctx, stream)
	signal(l.wake) // the first, empty batch opens the stream
	for {
		results, err := stream.Receive()
		if err != nil {
			l.fail(err.Error())
			return
		}
		l.receive(results)
	}
}

func signal(c chan struct{}) {
	select {
	case c <- struct{}{}:
	default:
	}
}

// ready reports whether the forwarder has answered.
func (l *link) ready() bool { return l.mark.Load() != 0 }

// do forwards a call and waits for its result. reserve is the part of the caller's time that the call must leave.
func (l *link) do(ctx context.Context, message *laburnumv1.OrderCall, spec string, reserve time.Duration) (disposition, *laburnumv1.OrderResult) {
	budget := maxRoundTrip + time.Duration(message.WaitMs)*time.Millisecond
	if deadline, ok := ctx.Deadline(); ok {
		budget = time.Until(deadline)
	}
	if budget -= reserve; budget < minBudget {
		return notSent, nil
	}
	p := callPool.Get().(*pendingCall)
	p.message, p.spec, p.budget, p.sent = message, spec, budget, false
	if !l.enqueue(p) {
		callPool.Put(p)
		return notSent, nil
	}
	select {
	case <-p.done:
	case <-ctx.Done():
		if l.abandon(p) {
			return unanswered, nil // p may still be in the queue, so it isn't used again
		}
		<-p.done
	}
	how, result := p.how, p.result
	p.message, p.result = nil, nil
	callPool.Put(p)
	return how, result
}

// enqueue queues a call unless the link has failed or is full.
func (l *link) enqueue(p *pendingCall) bool {
	l.mu.Lock()
	if l.failed != "" || len(l.queue) >= maxQueuedCalls || len(l.pending) >= maxPendingCalls {
		l.mu.Unlock()
		return false
	}
	l.lastCall++
	p.message.Number = l.lastCall
	l.pending[l.lastCall] = p
	if len(l.queue) == 0 {
		l.queuedAt = boottime.Now()
	}
	l.queue = append(l.queue, p)
	n := len(l.queue)
	l.mu.Unlock()
	if n == 1 {
		signal(l.wake)
	} else if n == maxBatchItems {
		signal(l.full)
	}
	return true
}

// abandon gives up a call whose caller no longer waits. It returns false if the outcome is already set.
func (l *link) abandon(p *pendingCall) bool {
	l.mu.Lock()
	defer l.mu.Unlock()
	number := p.message.Number
	if l.pending[number] != p {
		return false
	}
	delete(l.pending, number)
	if p.sent && l.failed == "" {
		l.cancelled = append(l.cancelled, number)
		signal(l.wake)
	}
	return true
}

// write sends batches until the stream ends.
func (l *link) write(ctx context.Context, stream *bidiStream) {
	timer := time.NewTimer(time.Hour)
	defer timer.Stop()
	for {
		select {
		case <-ctx.Done():
			return
		case <-l.wake:
		}
		timer.Reset(batchDelay)
		select {
		case <-ctx.Done():
			return
		case <-timer.C:
		case <-l.full:
		}
		batch := l.takeBatch()
		if batch == nil {
			continue
		}
		now := int64(boottime.Now())
		l.writingAt.Store(now)
		l.sentAt.Store(now)
		err := stream.Send(batch)
		l.writingAt.Store(0)
		if err != nil {
			if !errors.Is(err, io.EOF) { // io.EOF: Receive returns the cause
				l.fail(err.Error())
			}
			return
		}
		l.stats.batches.Inc(1)
	}
}

// takeBatch returns what is to be sent next, or nil if the link has failed. Calls that have become too old in the queue,
// for example because this process was suspended, are not sent; nor is any once this instance may no longer lead.
func (l *link) takeBatch() *laburnumv1.OrderBatch {
	mayLead := l.mayLead()
	l.mu.Lock()
	defer l.mu.Unlock()
	if l.failed != "" {
		return nil
	}
	// The mark is read before the age of the calls, so that the forwarder may take the batch for as old as the mark.
	batch := &laburnumv1.OrderBatch{Term: l.term, Echo: l.mark.Load(), Cancelled: l.cancelled}
	l.cancelled = nil
	waited := boottime.Now() - l.queuedAt
	specs, bytes, taken := make(map[string]uint32), 0, 0
	for _, p := range l.queue {
		if len(batch.Calls) >= maxBatchItems || bytes >= maxBatchBytes {
			break
		}
		taken++
		number := p.message.Number
		if l.pending[number] != p {
			continue // abandoned
		}
		left := p.budget - waited
		if left <= 0 || !mayLead {
			delete(l.pending, number)
			p.finish(notSent, nil)
			continue
		}
		p.sent, p.message.BudgetUs = true, left.Microseconds()
		if p.spec != "" {
			if specs[p.spec] == 0 {
				batch.Specs = append(batch.Specs, p.spec)
				specs[p.spec] = uint32(len(batch.Specs))
				bytes += len(p.spec)
			}
			p.message.Spec = specs[p.spec]
		}
		batch.Calls = append(batch.Calls, p.message)
	}
	rest := len(l.queue) - taken
	copy(l.queue, l.queue[taken:])
	clear(l.queue[rest:])
	l.queue = l.queue[:rest]
	if rest > 0 {
		signal(l.wake)
		signal(l.full)
	}
	return batch
}

// receive hands results to their callers.
func (l *link) receive(results *laburnumv1.OrderResults) {
	l.heardAt.Store(int64(boottime.Now()))
	l.mark.Store(results.Mark)
	if len(results.Results) == 0 {
		return
	}
	l.mu.Lock()
	defer l.mu.Unlock()
	for _, r := range results.Results {
		p := l.pending[r.Number]
		if p == nil || !p.sent {
			continue
		}
		delete(l.pending, r.Number)
		if r.Status == laburnumv1.OrderStatus_ORDER_STATUS_NOT_SENT {
			p.finish(notSent, r)
		} else {
			p.finish(answered, r)
		}
	}
}

// fail closes the stream. Calls that were not yet taken for a batch have certainly not been sent.
func (l *link) fail(reason string) {
	l.mu.Lock()
	defer l.mu.Unlock()
	if l.failed != "" {
		return
	}
	l.failed = reason
	l.cancel()
	for number, p := range l.pending {
		delete(l.pending, number)
		if p.sent {
			p.finish(unanswered, nil)
		} else {
			p.finish(notSent, nil)
		}
	}
	l.queue = nil
}

// giveUpIdempotent ends the holds and stops without a result, which may be repeated over another path.
func (l *link) giveUpIdempotent() {
	l.mu.Lock()
	defer l.mu.Unlock()
	for number, p := range l.pending {
		if k := p.message.Kind; k != laburnumv1.OrderKind_ORDER_KIND_HOLD && k != laburnumv1.OrderKind_ORDER_KIND_STOP || !p.sent {
			continue
		}
		delete(l.pending, number)
		l.cancelled = append(l.cancelled, number)
		p.finish(unanswered, nil)
	}
	signal(l.wake)
}

// failure returns why the link failed, or an empty string, and the number of calls without a result.
func (l *link) failure() (reason string, pending int) {
	l.mu.Lock()
	defer l.mu.Unlock()
	return l.failed, len(l.pending)
}

// check fails a link that is silent or blocked, wakes one that has sent nothing for a while, and reports whether it may get
// calls. late says that this process hasn't run for a while, so that what has arrived may not have been read yet. A link in use
// stays so for a while if all are silent.
func (l *link) check(now time.Duration, late, allSilent bool) (usable bool) {
	if late {
		return l.inUse
	}
	if at := time.Duration(l.writingAt.Load()); at != 0 && now-at > writeTimeout {
		l.fail("a write to the stream hangs")
		return false
	}
	silence := l.silence(now)
	switch {
	case !l.ready() && now-l.openAt > openTimeout:
		l.fail("no answer to the opening of the stream")
		return false
	case l.ready() && silence > silentAfter:
		l.fail("silent")
		return false
	}
	if now-time.Duration(l.sentAt.Load()) > keepAliveInterval {
		signal(l.wake)
	}
	return l.ready() && (silence <= suspectAfter || allSilent && l.inUse) && !l.stopping.Load()
}

// silence returns the time since the forwarder was last heard.
func (l *link) silence(now time.Duration) time.Duration { return now - time.Duration(l.heardAt.Load()) }
