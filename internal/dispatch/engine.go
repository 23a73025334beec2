package dispatch

import (
	"encoding/json"
	"runtime/debug"
	"sync"
	"sync/atomic"
	"time"

	"github.com/hashicorp/go-hclog"

	"laburnumrouter/internal/process/boottime"
	"laburnumrouter/internal/request/ledger"
	"laburnumrouter/internal/version/accepted"
)

// Engine applies the replicated log to the ledger. It implements replica.StateMachine.
type Engine struct {
	log hclog.Logger

	mu     sync.Mutex
	ledger *ledger.Ledger
	// limits are those of the configuration in force. They are read without mu, which may be held for long.
	limits atomic.Pointer[accepted.Limits]
	// progress tells which entries the ledger reflects. It advances with mu held.
	progress progress
	// lastOrdered is when this instance last applied a command about the move or upkeep of each machine. observedSince is
	// when it began to apply such commands itself.
	lastOrdered   map[string]time.Duration
	observedSince time.Duration
	// proposals holds the commands of this instance that are on their way through the log, by their encoding.
	proposals map[string]*localProposal
	// afterApply is called with mu held after each command.
	afterApply func(*ledger.Command, *ledger.Result)
}

// NewEngine returns an engine with an empty ledger.
func NewEngine(log hclog.Logger) *Engine {
	return &Engine{log: log, ledger: ledger.New(), lastOrdered: make(map[string]time.Duration), proposals: make(map[string]*localProposal), observedSince: boottime.Now()}
}

// Apply implements replica.StateMachine. The result is nil for a command that this instance registered, which keeps its result,
// and on an instance without a session.
func (e *Engine) Apply(index uint64, data []byte) []byte {
	if e.applyProposal(index, data) {
		return nil
	}
	c := &ledger.Command{}
	err := json.Unmarshal(data, c)
	e.mu.Lock()
	defer e.mu.Unlock()
	defer e.progress.advance(index)
	if err != nil {
		// Every replica has the same bytes and skips the same entry.
		e.log.Error("log entry can't be read and is skipped", "index", index, "error", err)
		return nil
	}
	result := e.applyLocked(index, c)
	if result == nil {
		return nil
	}
	e.recordOrdersLocked(c)
	e.notifyLocked(index, c, result)
	if e.afterApply == nil {
		return nil // only a session waits for results
	}
	encoded, err := json.Marshal(result)
	if err != nil {
		e.log.Error("result of a log entry can't be encoded", "index", index, "error", err)
	}
	return encoded
}

// applyProposal applies a command that this instance registered, and reports whether the data is one.
func (e *Engine) applyProposal(index uint64, data []byte) bool {
	e.mu.Lock()
	defer e.mu.Unlock()
	p := e.proposals[string(data)]
	if p == nil || p.result != nil {
		return false
	}
	defer e.progress.advance(index)
	if p.result = e.applyLocked(index, p.command); p.result != nil {
		e.recordOrdersLocked(p.command)
		e.notifyLocked(index, p.command, p.result)
	}
	return true
}

// applyLocked applies a command to the ledger. A panic skips the rest of the command, and the result is nil, so that its
// proposer takes the outcome for unknown. The entry is committed: if replicas stopped instead, each would stop again at every
// restart. Every replica breaks off at the same point, as the ledger is deterministic and iterates over lists only; what is
// derived from its contents is rebuilt, as on a replica that restores a snapshot.
func (e *Engine) applyLocked(index uint64, c *ledger.Command) (result *ledger.Result) {
	defer e.publishLimitsLocked()
	defer func() {
		if cause := recover(); cause != nil {
			e.log.Error("log entry can't be applied; the rest of it is skipped", "index", index, "cause", cause, "stack", string(debug.Stack()))
			e.ledger.Reindex()
			result = nil
		}
	}()
	return e.ledger.Apply(c)
}

// notifyLocked calls afterApply. A panic there is a fault of this instance's session and doesn't concern the ledger.
func (e *Engine) notifyLocked(index uint64, c *ledger.Command, result *ledger.Result) {
	defer func() {
		if cause := recover(); cause != nil {
			e.log.Error("session can't process a log entry", "index", index, "cause", cause, "stack", string(debug.Stack()))
		}
	}()
	if e.afterApply != nil {
		e.afterApply(c, result)
	}
}

// recordOrdersLocked records the current time for each machine that a command moves or whose upkeep it changes.
func (e *Engine) recordOrdersLocked(c *ledger.Command) {
	now := boottime.Now()
	for _, m := range c.Upkeep {
		e.lastOrdered[m.Machine] = now
	}
	for _, m := range c.Moves {
		e.lastOrdered[m.Machine] = now
	}
}

// timeSinceOrderLocked returns a lower bound of the time since a move or upkeep of a machine was last ordered.
func (e *Engine) timeSinceOrderLocked(machine string) time.Duration {
	return boottime.Now() - max(e.lastOrdered[machine], e.observedSince)
}

// Snapshot implements replica.StateMachine.
func (e *Engine) Snapshot() ([]byte, error) {
	e.mu.Lock()
	defer e.mu.Unlock()
	return e.ledger.Snapshot()
}

// Restore implements replica.StateMachine.
func (e *Engine) Restore(index uint64, data []byte) error {
	e.mu.Lock()
	defer e.mu.Unlock()
	// The snapshot may cover orders that were given just now.
	e.observedSince = boottime.Now()
	defer e.publishLimitsLocked()
	err := e.ledger.Restore(data)
	if err == nil {
		e.progress.advance(index)
	}
	return err
}

// publishLimitsLocked updates limits after a change of the ledger.
func (e *Engine) publishLimitsLocked() {
	index := e.ledger.Index()
	if index == nil {
		e.limits.Store(nil)
		return
	}
	e.limits.Store(&index.Config().Limits)
}

// setAfterApply sets the function that is called after each command; nil removes it.
func (e *Engine) setAfterApply(f func(*ledger.Command, *ledger.Result)) {
	e.mu.Lock()
	defer e.mu.Unlock()
	e.afterApply = f
}
