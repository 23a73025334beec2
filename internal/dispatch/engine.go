package dispatch

import (
	"encoding/json"
	"sync"
	"time"

	"github.com/hashicorp/go-hclog"

	"laburnumrouter/internal/process/boottime"
	"laburnumrouter/internal/request/ledger"
)

// Engine drives the ledger from the log. It implements replica.StateMachine.
type Engine struct {
	log hclog.Logger

	mu     sync.Mutex
	ledger *ledger.Ledger
	// ordered is when this instance saw the last order of a machine committed; since is when it began to see.
	ordered map[string]time.Duration
	since   time.Duration
	// changed is called under mu after each command.
	changed func(*ledger.Command, *ledger.Result)
}

// NewEngine returns an engine with an empty ledger.
func NewEngine(log hclog.Logger) *Engine {
	return &Engine{log: log, ledger: ledger.New(), ordered: make(map[string]time.Duration), since: boottime.Now()}
}

// Apply implements replica.StateMachine.
func (e *Engine) Apply(index uint64, data []byte) []byte {
	var c ledger.Command
	if err := json.Unmarshal(data, &c); err != nil {
		// Every replica holds the same bytes and skips the same entry.
		e.log.Error("log entry can't be read and is skipped", "index", index, "error", err)
		return nil
	}
	e.mu.Lock()
	defer e.mu.Unlock()
	result := e.ledger.Apply(&c)
	e.noteOrdersLocked(&c)
	if e.changed != nil {
		e.changed(&c, result)
	}
	encoded, err := json.Marshal(result)
	if err != nil {
		e.log.Error("result of a log entry can't be encoded", "index", index, "error", err)
	}
	return encoded
}

// noteOrdersLocked remembers when machines were ordered.
func (e *Engine) noteOrdersLocked(c *ledger.Command) {
	now := boottime.Now()
	for _, m := range c.Upkeep {
		e.ordered[m.Machine] = now
	}
	for _, m := range c.Moves {
		e.ordered[m.Machine] = now
	}
}

// quietLocked returns how long a machine has not been ordered for certain.
func (e *Engine) quietLocked(machine string) time.Duration {
	return boottime.Now() - max(e.ordered[machine], e.since)
}

// Snapshot implements replica.StateMachine.
func (e *Engine) Snapshot() ([]byte, error) {
	e.mu.Lock()
	defer e.mu.Unlock()
	return e.ledger.Snapshot()
}

// Restore implements replica.StateMachine.
func (e *Engine) Restore(_ uint64, data []byte) error {
	e.mu.Lock()
	defer e.mu.Unlock()
	// Orders that the snapshot covers may have been given just now.
	e.since = boottime.Now()
	return e.ledger.Restore(data)
}

// onChange sets the function that is called after each command; nil removes it.
func (e *Engine) onChange(f func(*ledger.Command, *ledger.Result)) {
	e.mu.Lock()
	defer e.mu.Unlock()
	e.changed = f
}
