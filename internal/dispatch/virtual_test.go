package dispatch

import (
	"context"
	"errors"
	"fmt"
	"math/rand/v2"
	"sync"
	"time"

	"github.com/hashicorp/go-hclog"

	"laburnumrouter/internal/request/ledger"
)

// This file is a platform in virtual time: a replicated log with instances that change, backend servers that keep the
// platform's rules, and a network that delays, loses and repeats. It checks what callers rely on at the servers.

const (
	virtualElection = 800 * time.Millisecond
	gangTimeout     = 3 * time.Second
	// slowClock is the least rate of a backend server's clock.
	slowClock = 0.98
	// cancelBound is how long after an acknowledged cancel the leader may still start a task (cancel_ms).
	cancelBound = 3 * time.Second
)

var errCut = errors.New("cut off")

// world is one play.
type world struct {
	mu        sync.Mutex
	rng       *rand.Rand
	base      time.Time
	ctx       context.Context
	group     sync.WaitGroup
	instances []*vinstance
	servers   map[string]*vserver
	jobs      map[string]*vjob
	teamCPU   int64
	lasting   bool // a job of lasting tasks was drawn
	broken    []string
	output    hclog.Logger

	// The log.
	entries  [][]byte
	pending  map[int][]byte // commands under way, by number
	number   int
	leader   int // index of the instance that leads; -1 for none
	term     uint64
	promised time.Duration // no other leader before

	// Faults of the network.
	lateShare, loseShare float64
}

type vjob struct {
	s         *ledger.Submission
	attempts  int
	accepted  bool
	cancelled time.Duration // when the cancel was acknowledged; 0 for never
	tasks     map[ledger.TaskID]*vtask
}

// vtask is what became of a task at the servers.
type vtask struct {
	done       bool
	doneNoted  bool
	failsNoted int
}

func newWorld(ctx context.Context, seed uint64) *world {
	return &world{
		rng: rand.New(rand.NewPCG(seed, 1)), base: time.Now(), ctx: ctx, servers: make(map[string]*vserver),
		jobs: make(map[string]*vjob), pending: make(map[int][]byte), leader: -1, output: hclog.NewNullLogger(),
	}
}

func (w *world) now() time.Duration { return time.Since(w.base) + time.Hour }

func (w *world) violated(format string, args ...any) {
	w.broken = append(w.broken, fmt.Sprintf("%.3f s: ", (w.now()-time.Hour).Seconds())+fmt.Sprintf(format, args...))
}

func (w *world) spawn(f func()) {
	w.group.Go(f)
}

func (w *world) between(low, high time.Duration) time.Duration {
	w.mu.Lock()
	defer w.mu.Unlock()
	return low + time.Duration(w.rng.Int64N(int64(high-low)))
}

func sleepFor(ctx context.Context, d time.Duration) error {
	select {
	case <-ctx.Done():
		return ctx.Err()
	case <-time.After(d):
		return nil
	}
}

// do sends a call to whoever leads until it is answered or ctx ends.
func (w *world) do(ctx context.Context, c *Call) *Reply {
	for ctx.Err() == nil {
		w.mu.Lock()
		var d *Dispatcher
		if w.leader >= 0 {
			d = w.instances[w.leader].d
		}
		w.mu.Unlock()
		if d != nil {
			again := *c
			callCtx, cancel := context.WithTimeout(ctx, time.Second)
			reply, err := d.Do(callCtx, &again)
			cancel()
			if err == nil && reply.Outcome != Uncertain && reply.Outcome != Unavailable {
				return reply
			}
		}
		_ = sleepFor(ctx, 100*time.Millisecond)
	}
	return nil
}
