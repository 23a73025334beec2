package control

import (
	"sync"

	"github.com/hashicorp/go-hclog"
	"google.golang.org/protobuf/proto"

	"laburnumrouter/internal/version/feed"
	"laburnumrouter/internal/version/machine"
	laburnumv1 "laburnumrouter/proto/laburnum/v1"
)

// lockedMachine implements replica.StateMachine: it guards the state machine with a mutex and publishes its changes to
// the feed.
type lockedMachine struct {
	store *feed.Store
	log   hclog.Logger
	jobs  *jobRunner

	mu      sync.Mutex
	machine *machine.Machine
}

func newLockedMachine(store *feed.Store, log hclog.Logger) *lockedMachine {
	return &lockedMachine{store: store, log: log, machine: machine.New()}
}

// notifyJobRunner makes the state machine call the job runner at every change of a job.
func (l *lockedMachine) notifyJobRunner(r *jobRunner) {
	l.jobs = r
	l.machine.OnJobChange = r.jobChanged
}

// Apply implements replica.StateMachine.
func (l *lockedMachine) Apply(index uint64, command []byte) []byte {
	cmd := &laburnumv1.Command{}
	if err := proto.Unmarshal(command, cmd); err != nil {
		// All replicas hold the same bytes, so they all fail to decode the same command and their states stay equal.
		l.log.Error("command cannot be decoded", "index", index, "error", err)
	}
	l.mu.Lock()
	defer l.mu.Unlock()
	result, changes := l.machine.Apply(index, cmd)
	if err := l.store.Advance(changes, index); err != nil {
		l.log.Error("change cannot be folded", "index", index, "error", err)
	}
	for _, d := range l.machine.DecisionsAt(index) {
		l.log.Info("decision", "subject", d.Subject, "action", d.Action, "reason", d.Reason, "index", d.Index, "by", d.By)
	}
	data, err := proto.Marshal(result)
	if err != nil {
		l.log.Error("result cannot be encoded", "index", index, "error", err)
	}
	return data
}

// Snapshot implements replica.StateMachine.
func (l *lockedMachine) Snapshot() ([]byte, error) {
	l.mu.Lock()
	defer l.mu.Unlock()
	return l.machine.Snapshot()
}

// Restore implements replica.StateMachine.
func (l *lockedMachine) Restore(_ uint64, data []byte) error {
	l.mu.Lock()
	defer l.mu.Unlock()
	if err := l.machine.Restore(data); err != nil {
		return err
	}
	l.jobs.rebuild(l.machine.Jobs)
	return l.store.Restore(l.machine.State.Snapshot())
}

// read calls f with the machine while holding the mutex. f must not retain or modify it.
func (l *lockedMachine) read(f func(*machine.Machine)) {
	l.mu.Lock()
	defer l.mu.Unlock()
	f(l.machine)
}
