package dispatch

import (
	"context"
	"fmt"
	"time"

	"github.com/hashicorp/go-hclog"
	"github.com/uber-go/tally/v4"

	"laburnumrouter/internal/process/replica"
	"laburnumrouter/internal/request/ledger"
)

// simInstance is a simulated control instance.
type simInstance struct {
	w               *simulation
	index           int
	engine          *Engine
	applied         int
	d               *Dispatcher
	stop            func()
	up, partitioned bool
	// believedTerm is the term in which the instance believes it leads; 0 if it doesn't.
	believedTerm uint64
}

// addInstance adds an instance that has applied all committed entries.
func (w *simulation) addInstance() {
	i := &simInstance{w: w, index: len(w.instances)}
	w.mu.Lock()
	w.instances = append(w.instances, i)
	w.mu.Unlock()
	i.start()
}

func (i *simInstance) start() {
	i.w.mu.Lock()
	i.engine = NewEngine(hclog.NewNullLogger())
	i.applied, i.up, i.partitioned, i.believedTerm = 0, true, false, 0
	i.w.coreDisturbedAt = i.w.now()
	i.w.catchUpLocked(i)
	i.d = New(Options{
		Name: fmt.Sprint("c", i.index), Address: fmt.Sprint("c", i.index), Engine: i.engine, Replica: i, Servers: &simCalls{i}, Machines: i.w.machines,
		Log: i.w.logger, Scope: tally.NoopScope, ElectionTime: i.w.electionTimeout, MachineLease: 3 * time.Second,
		DataCentres:  []string{"dc0", "dc1", "dc2"},
		MemberFormat: func(context.Context) int { return ledger.NewestFormat },
	})
	d := i.d
	ctx, cancel := context.WithCancel(i.w.ctx)
	done := make(chan struct{})
	// Set in the same critical section as up: the instance may be elected and crashed as soon as it is up.
	i.stop = func() {
		cancel()
		<-done
	}
	i.w.mu.Unlock()
	i.w.spawn(func() {
		defer close(done)
		_ = d.Run(ctx)
	})
}

// catchUpLocked applies the entries that an instance lacks. One that lacks many restores a snapshot first.
func (w *simulation) catchUpLocked(i *simInstance) {
	for _, from := range w.instances {
		if from != i && from.up && from.applied > i.applied+50 {
			data, err := from.engine.Snapshot()
			if err == nil {
				err = i.engine.Restore(uint64(from.applied), data)
			}
			if err != nil {
				w.recordViolation("snapshot: %v", err)
			}
			i.applied = from.applied
			break
		}
	}
	for ; i.applied < len(w.entries); i.applied++ {
		i.engine.Apply(uint64(i.applied+1), w.entries[i.applied])
	}
}

// Status implements Replica.
func (i *simInstance) Status() replica.Status {
	i.w.mu.Lock()
	defer i.w.mu.Unlock()
	return replica.Status{IsLeader: i.believedTerm != 0, Term: max(i.believedTerm, 1)}
}

func (i *simInstance) leadsLocked() bool {
	return i.up && !i.partitioned && i.w.leader == i.index && i.believedTerm == i.w.term
}

// ReadIndex implements Log.
func (i *simInstance) ReadIndex(ctx context.Context) error {
	asked := i.w.now()
	if err := sleepFor(ctx, i.w.between(time.Millisecond, 5*time.Millisecond)); err != nil {
		return err
	}
	i.w.mu.Lock()
	ok := i.leadsLocked()
	if ok {
		i.w.noElectionBefore = max(i.w.noElectionBefore, asked+i.w.electionTimeout)
		i.w.catchUpLocked(i)
	} else if l := i.w.leader; l >= 0 && i.believedTerm == 0 && i.up && !i.partitioned && i.w.instances[l].leadsLocked() {
		ok = true // a follower asks the leader
		i.w.catchUpLocked(i)
	}
	i.w.mu.Unlock()
	if ok {
		return nil
	}
	<-ctx.Done()
	return ctx.Err()
}

// ProposeLocal implements Log.
func (i *simInstance) ProposeLocal(ctx context.Context, command []byte) ([]byte, uint64, error) {
	i.w.mu.Lock()
	i.w.lastProposal++
	number := i.w.lastProposal
	if i.believedTerm == 0 {
		i.w.mu.Unlock()
		return nil, 0, replica.ErrNotLeader
	}
	if i.leadsLocked() {
		i.w.pending[number] = command
	}
	i.w.mu.Unlock()
	_ = sleepFor(ctx, i.w.between(5*time.Millisecond, 30*time.Millisecond)) // the command may be committed even if ctx ends
	i.w.mu.Lock()
	_, waits := i.w.pending[number]
	if !waits || !i.leadsLocked() {
		i.w.mu.Unlock()
		<-ctx.Done()
		return nil, 0, replica.ErrOutcomeUnknown
	}
	delete(i.w.pending, number)
	i.w.entries = append(i.w.entries, command)
	i.w.catchUpOthersLocked(i)
	i.applied++
	index := uint64(i.applied)
	result := i.engine.Apply(index, command)
	i.w.mu.Unlock()
	if ctx.Err() != nil {
		return nil, 0, replica.ErrOutcomeUnknown
	}
	return result, index, nil
}

func (w *simulation) catchUpOthersLocked(except *simInstance) {
	for _, i := range w.instances {
		if i != except && i.up && !i.partitioned {
			w.catchUpLocked(i)
		}
	}
}

// elect makes a reachable instance the leader, once no earlier leader may hold its lease. It prefers the one at index.
func (w *simulation) elect(index int) {
	for w.ctx.Err() == nil {
		w.mu.Lock()
		i := w.candidateLocked(index)
		wait := max(w.noElectionBefore-w.now(), 10*time.Millisecond)
		switch {
		case w.leader >= 0:
			w.mu.Unlock()
			return
		case i != nil && w.noElectionBefore <= w.now():
			w.beginTermLocked(i)
			w.mu.Unlock()
			return
		}
		w.mu.Unlock()
		_ = sleepFor(w.ctx, wait)
	}
}

func (w *simulation) candidateLocked(index int) *simInstance {
	for n := range w.instances {
		if i := w.instances[(index+n)%len(w.instances)]; i.up && !i.partitioned {
			return i
		}
	}
	return nil
}

// beginTermLocked makes an instance the leader. Each pending command is committed or lost.
func (w *simulation) beginTermLocked(i *simInstance) {
	for number, command := range w.pending {
		if w.rng.IntN(2) == 0 {
			w.entries = append(w.entries, command)
		}
		delete(w.pending, number)
	}
	w.term++
	w.leader, w.disturbedAt = i.index, w.now()
	w.catchUpLocked(i)
	i.believedTerm = w.term
}

// failLeader crashes or partitions the leader for a while. It returns once another instance leads.
func (w *simulation) failLeader(crash bool, away time.Duration) {
	w.mu.Lock()
	old := w.leader
	if old < 0 {
		w.mu.Unlock()
		return
	}
	i := w.instances[old]
	stop := i.stop
	w.leader, w.coreDisturbedAt = -1, w.now()
	if crash {
		i.up, i.believedTerm = false, 0
	} else {
		i.partitioned = true
	}
	w.mu.Unlock()
	if crash {
		stop()
	} else {
		w.spawn(func() {
			_ = sleepFor(w.ctx, w.between(w.electionTimeout, 2*w.electionTimeout))
			w.mu.Lock()
			i.believedTerm = 0
			w.mu.Unlock()
		})
	}
	w.spawn(func() {
		_ = sleepFor(w.ctx, max(away, 2*w.electionTimeout))
		if crash {
			i.start()
			return
		}
		w.mu.Lock()
		i.partitioned, w.coreDisturbedAt = false, w.now()
		w.catchUpLocked(i)
		w.mu.Unlock()
	})
	if sleepFor(w.ctx, w.between(w.electionTimeout, 2*w.electionTimeout)) == nil {
		w.elect((old + 1) % len(w.instances))
	}
}

// crashLeaderAtStopLocked crashes the leader, at a stop of a lasting task, if stopsToCrash says so.
func (w *simulation) crashLeaderAtStopLocked(id ledger.TaskID) {
	if step := w.stepLocked(id); step == nil || !step.Lasting || w.stopsToCrash == 0 {
		return
	}
	if w.stopsToCrash--; w.stopsToCrash == 0 {
		next := w.leader + 1
		w.spawn(func() { w.failLeader(true, 0) })
		w.spawn(func() {
			_ = sleepFor(w.ctx, networkDelay)
			w.elect(next % len(w.instances))
		})
	}
}
