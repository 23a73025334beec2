package dispatch

import (
	"context"
	"fmt"
	"time"

	"github.com/hashicorp/go-hclog"
	"github.com/uber-go/tally/v4"

	"laburnumrouter/internal/process/replica"
)

// vinstance is a control instance.
type vinstance struct {
	w       *world
	index   int
	engine  *Engine
	applied int
	d       *Dispatcher
	stop    func()
	up, cut bool
	// believes is the term in which it takes itself for the leader; 0 for none.
	believes uint64
}

// addInstance makes an instance that knows everything committed so far.
func (w *world) addInstance() {
	i := &vinstance{w: w, index: len(w.instances)}
	w.mu.Lock()
	w.instances = append(w.instances, i)
	w.mu.Unlock()
	i.start()
}

func (i *vinstance) start() {
	i.w.mu.Lock()
	i.engine = NewEngine(hclog.NewNullLogger())
	i.applied, i.up, i.cut, i.believes = 0, true, false, 0
	i.w.catchUpLocked(i)
	i.d = New(Options{
		Name: fmt.Sprint("c", i.index), Address: fmt.Sprint("c", i.index), Engine: i.engine, Replica: i, Servers: &vcalls{i},
		Log: i.w.output, Scope: tally.NoopScope, ElectionTime: virtualElection, MachineLease: 3 * time.Second,
	})
	d := i.d
	i.w.mu.Unlock()
	ctx, cancel := context.WithCancel(i.w.ctx)
	done := make(chan struct{})
	i.w.spawn(func() {
		defer close(done)
		_ = d.Run(ctx)
	})
	i.stop = func() {
		cancel()
		<-done
	}
}

// catchUpLocked applies what an instance lacks; one that lacks much gets a snapshot first.
func (w *world) catchUpLocked(i *vinstance) {
	for _, from := range w.instances {
		if from != i && from.up && from.applied > i.applied+50 {
			data, err := from.engine.Snapshot()
			if err == nil {
				err = i.engine.Restore(uint64(from.applied), data)
			}
			if err != nil {
				w.violated("snapshot: %v", err)
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
func (i *vinstance) Status() replica.Status {
	i.w.mu.Lock()
	defer i.w.mu.Unlock()
	return replica.Status{IsLeader: i.believes != 0, Term: max(i.believes, 1)}
}

func (i *vinstance) leadsLocked() bool {
	return i.up && !i.cut && i.w.leader == i.index && i.believes == i.w.term
}

// ReadIndex implements Log.
func (i *vinstance) ReadIndex(ctx context.Context) error {
	asked := i.w.now()
	if err := sleepFor(ctx, i.w.between(time.Millisecond, 5*time.Millisecond)); err != nil {
		return err
	}
	i.w.mu.Lock()
	ok := i.leadsLocked()
	if ok {
		i.w.promised = max(i.w.promised, asked+virtualElection)
		i.w.catchUpLocked(i)
	}
	i.w.mu.Unlock()
	if ok {
		return nil
	}
	<-ctx.Done()
	return ctx.Err()
}

// ProposeHere implements Log.
func (i *vinstance) ProposeHere(ctx context.Context, command []byte) ([]byte, uint64, error) {
	i.w.mu.Lock()
	i.w.number++
	number := i.w.number
	if i.believes == 0 {
		i.w.mu.Unlock()
		return nil, 0, replica.ErrNotLeader
	}
	if i.leadsLocked() {
		i.w.pending[number] = command
	}
	i.w.mu.Unlock()
	_ = sleepFor(ctx, i.w.between(5*time.Millisecond, 30*time.Millisecond)) // what is under way may be committed all the same
	i.w.mu.Lock()
	_, waits := i.w.pending[number]
	if !waits || !i.leadsLocked() {
		i.w.mu.Unlock()
		<-ctx.Done()
		return nil, 0, replica.ErrUnknown
	}
	delete(i.w.pending, number)
	i.w.entries = append(i.w.entries, command)
	i.w.catchUpOthersLocked(i)
	i.applied++
	index := uint64(i.applied)
	result := i.engine.Apply(index, command)
	i.w.mu.Unlock()
	if ctx.Err() != nil {
		return nil, 0, replica.ErrUnknown
	}
	return result, index, nil
}

func (w *world) catchUpOthersLocked(but *vinstance) {
	for _, i := range w.instances {
		if i != but && i.up && !i.cut {
			w.catchUpLocked(i)
		}
	}
}

// elect makes an instance lead once nobody else may any more: the one of an index, or the next that can be reached.
func (w *world) elect(index int) {
	for w.ctx.Err() == nil {
		w.mu.Lock()
		i := w.candidateLocked(index)
		wait := max(w.promised-w.now(), 10*time.Millisecond)
		switch {
		case w.leader >= 0:
			w.mu.Unlock()
			return
		case i != nil && w.promised <= w.now():
			w.beginTermLocked(i)
			w.mu.Unlock()
			return
		}
		w.mu.Unlock()
		_ = sleepFor(w.ctx, wait)
	}
}

func (w *world) candidateLocked(index int) *vinstance {
	for n := range w.instances {
		if i := w.instances[(index+n)%len(w.instances)]; i.up && !i.cut {
			return i
		}
	}
	return nil
}

// beginTermLocked lets an instance lead. What was under way is committed or lost.
func (w *world) beginTermLocked(i *vinstance) {
	for number, command := range w.pending {
		if w.rng.IntN(2) == 0 {
			w.entries = append(w.entries, command)
		}
		delete(w.pending, number)
	}
	w.term++
	w.leader = i.index
	w.catchUpLocked(i)
	i.believes = w.term
}

// loseLeader takes the leader away: it is cut off for a while, or crashes and comes back. It returns once another leads.
func (w *world) loseLeader(crash bool, away time.Duration) {
	w.mu.Lock()
	old := w.leader
	if old < 0 {
		w.mu.Unlock()
		return
	}
	i := w.instances[old]
	w.leader = -1
	if crash {
		i.up, i.believes = false, 0
	} else {
		i.cut = true
	}
	w.mu.Unlock()
	if crash {
		i.stop()
	} else {
		w.spawn(func() {
			_ = sleepFor(w.ctx, w.between(virtualElection, 2*virtualElection))
			w.mu.Lock()
			i.believes = 0
			w.mu.Unlock()
		})
	}
	w.spawn(func() {
		_ = sleepFor(w.ctx, max(away, 2*virtualElection))
		if crash {
			i.start()
			return
		}
		w.mu.Lock()
		i.cut = false
		w.catchUpLocked(i)
		w.mu.Unlock()
	})
	if sleepFor(w.ctx, w.between(virtualElection, 2*virtualElection)) == nil {
		w.elect((old + 1) % len(w.instances))
	}
}
