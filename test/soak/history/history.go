// Package history reads and writes the history of a soak: one JSON line for each event that callers, operators, backend
// servers and the soak itself have observed from outside the system.
package history

import (
	"bufio"
	"cmp"
	"encoding/json"
	"os"
	"path/filepath"
	"slices"
	"sync"
	"time"

	"github.com/zeebo/errs"

	"laburnumrouter/internal/process/boottime"
)

// Error is the class of all errors of this package.
var Error = errs.Class("history")

// Kind says what an event describes.
type Kind string

// Kinds of events.
const (
	// Settings is the first event: what was run.
	Settings Kind = "settings"
	// Call is a caller's request to an entry instance. Op says which.
	Call Kind = "call"
	// Order is an operator's request to a control instance. Op is put or read.
	Order Kind = "order"
	// Start, End and Ack are the start of a run on a backend server, its end, and the acknowledgement of its end.
	Start Kind = "start"
	End   Kind = "end"
	Ack   Kind = "ack"
	// Lease extends the lease of a backend server until Until.
	Lease Kind = "lease"
	// Drained is the acknowledgement of an announcement that a backend server drains.
	Drained Kind = "drained"
	// Launch is the start of a process.
	Launch Kind = "launch"
	// Gone is written once a process has ended. Cause says whether the soak ended it, or how it ended.
	Gone Kind = "gone"
	// Fault is a fault that begins or ends.
	Fault Kind = "fault"
	// Stall is a time in which the soak itself was not scheduled; bounds are extended by it.
	Stall Kind = "stall"
	// Calm is written once all faults are over and all processes run.
	Calm Kind = "calm"
	// Usage is the memory and the descriptors of a process.
	Usage Kind = "usage"
	// Finished is written once the soak has asked for everything; a history without it is incomplete.
	Finished Kind = "finished"
)

// Operations of callers (Call) and operators (Order).
const (
	Submit  = "submit"
	State   = "state"
	Cancel  = "cancel"
	Pending = "pending"
	Put     = "put"
	Read    = "read"
)

// Step is a step of a submitted job.
type Step struct {
	Count int   `json:"count"`
	CPU   int64 `json:"cpu"`
	MS    int64 `json:"ms"`
	After []int `json:"after,omitempty"`
}

// Event is one line of a history. T and Sent are nanoseconds of the machine's boot clock, which all processes share.
type Event struct {
	T    int64  `json:"t"`
	Kind Kind   `json:"kind"`
	Op   string `json:"op,omitempty"`
	// Node is the process that was called, has run the task or has ended; Life counts its starts.
	Node string `json:"node,omitempty"`
	Life int    `json:"life,omitempty"`

	// Calls and orders: when the request was sent, the status (0: no complete answer) and why there is none.
	Sent   int64  `json:"sent,omitempty"`
	Status int    `json:"status,omitempty"`
	Error  string `json:"error,omitempty"`
	// Key is the API key, Queue the queue, Job the job's id, Steps the steps of a submitted job.
	Key   string `json:"key,omitempty"`
	Queue string `json:"queue,omitempty"`
	Job   string `json:"job,omitempty"`
	Steps []Step `json:"steps,omitempty"`
	// State and Pending are what the answer said. Last marks the calls that ask for a job after the faults.
	State   string `json:"state,omitempty"`
	Pending int    `json:"pending,omitempty"`
	Last    bool   `json:"last,omitempty"`

	// Version, Keys and Queues are a configuration's; Digest is that of its bytes.
	Version int64    `json:"version,omitempty"`
	Keys    []string `json:"keys,omitempty"`
	Queues  []string `json:"queues,omitempty"`
	Digest  string   `json:"digest,omitempty"`

	// Task, Run and How describe a run; Number is the number of its end, or the highest acknowledged one.
	Task   string `json:"task,omitempty"`
	Run    int    `json:"run,omitempty"`
	How    string `json:"how,omitempty"`
	Number int64  `json:"number,omitempty"`
	Until  int64  `json:"until,omitempty"`

	// Cause describes a fault or an exit. Target is what a fault acts on. Planned marks faults that are planned work.
	Cause   string `json:"cause,omitempty"`
	Target  string `json:"target,omitempty"`
	Planned bool   `json:"planned,omitempty"`
	Over    bool   `json:"over,omitempty"`

	MemoryMB    int64 `json:"memory_mb,omitempty"`
	Descriptors int   `json:"descriptors,omitempty"`

	// Seed, Size, MS, Capacity and Attempts describe the run of the soak.
	Seed     uint64 `json:"seed,omitempty"`
	Size     int    `json:"size,omitempty"`
	MS       int64  `json:"ms,omitempty"`
	Capacity int64  `json:"capacity,omitempty"`
	Attempts int    `json:"attempts,omitempty"`
	Plant    string `json:"plant,omitempty"`
}

// Now returns the time for events.
func Now() int64 { return int64(boottime.Now()) }

// Seconds returns the time between two times of events in seconds.
func Seconds(from, to int64) float64 { return time.Duration(to - from).Seconds() }

// Writer appends events to a file. It is safe for concurrent use. Each event is one write, so that a process that is killed
// loses none that it has written.
type Writer struct {
	mu   sync.Mutex
	file *os.File
	err  error
}

// Create opens a history for appending.
func Create(path string) (*Writer, error) {
	file, err := os.OpenFile(path, os.O_CREATE|os.O_APPEND|os.O_WRONLY, 0o600)
	return &Writer{file: file}, Error.Wrap(err)
}

// Add writes an event. Without a time it gets the present one.
func (w *Writer) Add(e Event) {
	if e.T == 0 {
		e.T = Now()
	}
	data, err := json.Marshal(e)
	w.mu.Lock()
	defer w.mu.Unlock()
	if err == nil {
		_, err = w.file.Write(append(data, '\n'))
	}
	w.err = errs.Combine(w.err, err)
}

// Close closes the file and returns the errors of all writes.
func (w *Writer) Close() error {
	w.mu.Lock()
	defer w.mu.Unlock()
	return Error.Wrap(errs.Combine(w.err, w.file.Close()))
}

// Load returns the events of a file.
func Load(path string) ([]Event, error) {
	file, err := os.Open(path)
	if err != nil {
		return nil, Error.Wrap(err)
	}
	defer file.Close()
	var events []Event
	lines := bufio.NewScanner(file)
	lines.Buffer(nil, 16<<20)
	for lines.Scan() {
		var e Event
		if err := json.Unmarshal(lines.Bytes(), &e); err != nil {
			return nil, Error.New("%s, line %d: %w", filepath.Base(path), len(events)+1, err)
		}
		events = append(events, e)
	}
	return events, Error.Wrap(lines.Err())
}

// Merge writes the events of several files to one, ordered by time.
func Merge(to string, from ...string) error {
	var all []Event
	for _, path := range from {
		events, err := Load(path)
		if err != nil {
			return err
		}
		all = append(all, events...)
	}
	slices.SortStableFunc(all, func(a, b Event) int { return cmp.Compare(a.T, b.T) })
	file, err := os.Create(to)
	if err != nil {
		return Error.Wrap(err)
	}
	out := bufio.NewWriter(file)
	encoder := json.NewEncoder(out)
	for _, e := range all {
		err = errs.Combine(err, encoder.Encode(e))
	}
	return Error.Wrap(errs.Combine(err, out.Flush(), file.Close()))
}
