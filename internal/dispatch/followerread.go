package dispatch

import (
	"context"
	"sync/atomic"
	"time"

	"github.com/uber-go/tally/v4"

	"laburnumrouter/internal/process/boottime"
	"laburnumrouter/internal/process/logging"
	"laburnumrouter/internal/version/accepted"
)

const (
	// maxReadAge is how old the state may be that a follower answers from. With the time that an entry waits for the answer
	// it stays below 2 s; a revoked key must not be served 5 s after its revocation.
	maxReadAge = 800 * time.Millisecond
	// confirmAfter is the age from which a read makes the follower confirm its state anew. The round trip takes a few
	// milliseconds, or 200 ms if a packet is lost, so that reads meanwhile find the state fresh. Each confirmation costs the
	// leader a round of heartbeats.
	confirmAfter = 500 * time.Millisecond
	// maxCatchUp bounds the wait for an entry that the sender of a read has acted on. A follower applies an entry within some
	// milliseconds of the leader, or 200 ms later if a packet is lost.
	maxCatchUp = 60 * time.Millisecond
)

// followerReads answers callers' state queries and pending counts on an instance that doesn't lead. While nobody reads, it
// sends nothing.
type followerReads struct {
	engine  *Engine
	replica Log
	// confirmedAt is when the newest round trip with the leader began after which everything committed before was applied
	// here, by boottime in nanoseconds; 0 if there was none.
	confirmedAt atomic.Int64
	wanted      chan struct{}
	served      tally.Counter
	passedOn    tally.Counter
	// lines limits the lines about reads of the configuration.
	lines logging.Limit
}

func newFollowerReads(engine *Engine, replica Log, scope tally.Scope) *followerReads {
	return &followerReads{engine: engine, replica: replica, wanted: make(chan struct{}, 1), served: scope.Counter("follower_reads"), passedOn: scope.Counter("follower_reads_passed_on"), lines: logging.Limit{Lines: 50, Every: time.Second}}
}

// fresh reports whether a confirmation is young enough to answer from.
func fresh(confirmedAt time.Duration) bool {
	return confirmedAt > 0 && boottime.Now()-confirmedAt < maxReadAge
}

// read answers a call from this instance's state. It returns ErrNotLeader if the leader must answer it: the state isn't
// fresh, or the answer would be a refusal, which a newer state may contradict.
func (f *followerReads) read(ctx context.Context, c *Call) (*Reply, error) {
	if c.Op != OpState && c.Op != OpPending {
		return nil, ErrNotLeader
	}
	if !f.engine.progress.await(ctx, c.AtLeast, maxCatchUp) {
		f.passedOn.Inc(1)
		return nil, ErrNotLeader
	}
	confirmedAt := time.Duration(f.confirmedAt.Load())
	if boottime.Now()-confirmedAt > confirmAfter || confirmedAt == 0 {
		select {
		case f.wanted <- struct{}{}:
		default:
		}
	}
	var reply *Reply
	if fresh(confirmedAt) {
		reply = f.engine.read(c)
	}
	// The instance may have been suspended since the first check. The answer goes out only if the state that it was
	// computed from is still fresh.
	if reply == nil || reply.Outcome != OK || !fresh(confirmedAt) {
		f.passedOn.Inc(1)
		return nil, ErrNotLeader
	}
	f.served.Inc(1)
	reply.Index = f.engine.progress.current()
	return reply, nil
}

// run confirms the state each time that a read asks for it, until ctx ends.
func (f *followerReads) run(ctx context.Context) {
	for {
		select {
		case <-ctx.Done():
			return
		case <-f.wanted:
			f.confirm(ctx)
		}
	}
}

// confirm makes a round trip with the leader.
func (f *followerReads) confirm(ctx context.Context) {
	ctx, cancel := context.WithTimeout(ctx, maxReadAge)
	defer cancel()
	asked := boottime.Now()
	if f.replica.ReadIndex(ctx) == nil {
		f.confirmedAt.Store(int64(asked))
	}
}

// read answers a state query or pending count from the ledger alone.
func (e *Engine) read(c *Call) *Reply {
	r, refusal := e.authorize(c)
	if refusal != nil {
		return refusal
	}
	e.mu.Lock()
	defer e.mu.Unlock()
	if c.Op == OpPending {
		return &Reply{Outcome: OK, Pending: e.ledger.Unstarted(r.queue.Place())}
	}
	j := e.findJobLocked(r)
	if j == nil {
		return &Reply{Outcome: NotFound, Reason: "no such job"}
	}
	return &Reply{Outcome: OK, State: j.State}
}

// Read answers a state query or a pending count on an instance that doesn't lead. It returns ErrNotLeader if the call must be
// sent to the leader.
func (d *Dispatcher) Read(ctx context.Context, c *Call) (*Reply, error) {
	return d.followerReads.read(ctx, c)
}

// ReadConfig answers get-config on an instance that doesn't lead, after a round trip with the leader that begins now and takes at most
// the given time. It returns ErrNotLeader if the leader must be asked: the state wasn't confirmed in time, or there is no configuration
// in it.
func (d *Dispatcher) ReadConfig(ctx context.Context, c *Call, most time.Duration) (*Reply, error) {
	return d.followerReads.readConfig(ctx, c, most)
}

func (f *followerReads) readConfig(ctx context.Context, c *Call, most time.Duration) (*Reply, error) {
	asked := boottime.Now()
	ctx, cancel := context.WithTimeout(ctx, most)
	defer cancel()
	if f.replica.ReadIndex(ctx) != nil {
		f.passedOn.Inc(1)
		return nil, ErrNotLeader
	}
	version, reply := f.engine.config()
	// The context's clock stands still while the machine is suspended.
	if took := boottime.Now() - asked; reply.Outcome != OK || took > most {
		f.passedOn.Inc(1)
		return nil, ErrNotLeader
	}
	f.served.Inc(1)
	if omitted, ok := f.lines.Allow(time.Now()); ok {
		f.engine.log.Info("configuration read", "request", c.RequestID, "version", version, "bytes", len(reply.Config), "took", boottime.Now()-asked, "omitted", omitted)
	}
	return reply, nil
}

// config returns the version in force and the answer to get-config.
func (e *Engine) config() (int64, *Reply) {
	e.mu.Lock()
	defer e.mu.Unlock()
	index := e.ledger.Index()
	if index == nil {
		return 0, &Reply{Outcome: Unavailable, Reason: "no configuration is in force yet", RetryAfterMS: noConfigRetryMS}
	}
	return index.Config().Version, &Reply{Outcome: OK, Config: index.Config().Raw}
}

// pendingCountLocked returns the number of pending jobs of a queue: those that the ledger holds as neither begun nor finished,
// without those that this leader knows to have begun.
func (s *session) pendingCountLocked(p accepted.Place) int {
	n := s.engine.ledger.Unstarted(p)
	for key := range s.begun {
		if j := s.engine.ledger.Job(key); j != nil && j.Place() == p && !j.Started && !j.State.Final() {
			n--
		}
	}
	return n
}
