// Package dispatch runs jobs on backend servers. The Engine holds the replicated state on every control instance. The
// session of the leader plans, sends orders, renews leases and records how runs end. All outgoing calls go through the
// interfaces in this file.
package dispatch

import (
	"context"

	"github.com/zeebo/errs"

	"laburnumrouter/internal/request/ledger"
)

// Error is the class of all errors of this package.
var Error = errs.Class("dispatch")

// Target identifies a backend server and where to reach it.
type Target struct {
	ID      string
	Address string
}

// StartOrder starts a run.
type StartOrder struct {
	Task       ledger.TaskID
	Run        int
	Spec       string
	Checkpoint string
	// DeadlineMS is when the lease ends on the server's clock.
	DeadlineMS int64
	// Fence is the leader's fencing token.
	Fence uint64
}

// StartAnswer is a server's answer to a StartOrder.
type StartAnswer int

// Answers to a StartOrder. All but StartAccepted mean that this order started nothing.
const (
	StartAccepted StartAnswer = iota
	// StartFenced: the server has seen a higher fencing token.
	StartFenced
	// StartSuperseded: this run or a later run of the task was stopped or has ended there.
	StartSuperseded
	// StartDeadlinePassed: the deadline has passed.
	StartDeadlinePassed
	// StartNoRoom: the server lacks the capacity.
	StartNoRoom
	// StartUnhealthy: the server accepts no work now.
	StartUnhealthy
	// StartInvalid: the server can't decode the order.
	StartInvalid
	// StartMisdirected: another incarnation answers at the address.
	StartMisdirected
	// StartTicket: the server demands a valid ticket of the platform's advice service. This program never sends one.
	StartTicket
)

// String returns the name of the answer for logs.
func (a StartAnswer) String() string {
	names := [...]string{"taken", "fenced", "old", "late", "no-room", "unhealthy", "invalid", "elsewhere", "ticket"}
	if int(a) < len(names) {
		return names[a]
	}
	return "unknown"
}

// StopOrder stops a run.
type StopOrder struct {
	Task  ledger.TaskID
	Run   int
	Fence uint64
}

// HoldOrder renews the lease of a server, which covers all its runs, and asks which runs are running and which have
// ended.
type HoldOrder struct {
	Fence uint64
	// DeadlineMS is when the lease ends on the server's clock; 0 leaves it unchanged.
	DeadlineMS int64
	// AckedEnd is the number of the newest committed end, or 0 if it was acknowledged before. The server may forget ends up to
	// it.
	AckedEnd int64
	// WaitMS is how long the server may delay its answer until a run ends (long polling).
	WaitMS int64
}

// MaxReportedEnds is the largest number of ends in a report (section Running tasks of the protocol document PROTOCOL). A server lists
// further ends once these are acknowledged.
const MaxReportedEnds = 500

// HoldReport is a server's answer to a HoldOrder.
type HoldReport struct {
	ClockMS int64
	// Born identifies the server's incarnation: its start time in milliseconds since 1970.
	Born     int64
	Running  []RunningTask
	Finished []FinishedTask
}

// listsAllEnds reports whether a run that the report lacks has neither ended nor is live on the server.
func (r *HoldReport) listsAllEnds() bool { return len(r.Finished) < MaxReportedEnds }

// RunningTask is a live run on a server.
type RunningTask struct {
	Task       ledger.TaskID
	Run        int
	Checkpoint string
	// Percent is how much of the task is in operation; 100 once it works in full.
	Percent int
	// Figure is the tail latency in milliseconds of a serving task; for any other task, the CPU in use.
	Figure int64
}

// FinishedTask is a run that ended on a server.
type FinishedTask struct {
	// Number increases with each end on a server incarnation.
	Number     int64
	Task       ledger.TaskID
	Run        int
	How        ledger.EndCause
	Checkpoint string
}

// PaceOrder throttles a task to a percentage of its speed.
type PaceOrder struct {
	Task    ledger.TaskID
	Run     int
	Percent int
	Fence   uint64
}

// Errors of calls to backend servers. After any other error the order may still be carried out.
var (
	// ErrMisdirected: another incarnation answers at the address.
	ErrMisdirected = Error.New("another incarnation answers at the backend server's address")
	// ErrFenced: the server has seen a higher fencing token.
	ErrFenced = Error.New("a higher fencing token was used")
	// ErrUnhealthy: the server answers that it is too busy, or unhealthy, to do anything.
	ErrUnhealthy = Error.New("the backend server is unhealthy")
)

// Servers sends orders to backend servers.
type Servers interface {
	Start(ctx context.Context, to Target, o StartOrder) (answer StartAnswer, clockMS int64, err error)
	Stop(ctx context.Context, to Target, o StopOrder) error
	Hold(ctx context.Context, to Target, o HoldOrder) (*HoldReport, error)
	Pace(ctx context.Context, to Target, o PaceOrder) error
}

// MachineState is the state of a machine as the platform reports it.
type MachineState string

// States of a machine.
const (
	MachineUp     MachineState = "up"
	MachineMoving MachineState = "moving"
	MachineUpkeep MachineState = "upkeep"
	MachineDown   MachineState = "down"
)

// Machine is a machine of the platform.
type Machine struct {
	Name  string
	Pool  string
	State MachineState
	// Server is the ID of the backend server that runs on the machine; empty if there is none.
	Server string
	// Labels are those that its server has, or would have.
	Labels []string
}

// MachineAnswer is the platform's answer to an order for a machine.
type MachineAnswer int

// Answers to orders for machines.
const (
	MachineAccepted MachineAnswer = iota
	// MachineFenced: the platform has seen a higher fencing token for the machine.
	MachineFenced
	// MachineBusy: the machine isn't up, or is already being moved or taken down.
	MachineBusy
	// MachineNotInWave: the machine does not belong to that wave.
	MachineNotInWave
	// MachineRefused: no such machine or pool.
	MachineRefused
	// MachineThrottled: the rate limit was exceeded; nothing was done.
	MachineThrottled
)

// String returns the name of the answer for logs.
func (a MachineAnswer) String() string {
	names := [...]string{"taken", "fenced", "busy", "not-in-wave", "refused", "throttled"}
	if int(a) < len(names) {
		return names[a]
	}
	return "unknown"
}

// Holder identifies the leader that sends an order for a machine.
type Holder struct {
	Name  string
	Fence uint64
}

// Machines is the client interface of the platform's machine API.
type Machines interface {
	// List returns one page and the token of the next page; the token is empty on the last page.
	List(ctx context.Context, page string) (list []Machine, next string, err error)
	Move(ctx context.Context, by Holder, machine, pool string) (MachineAnswer, error)
	Upkeep(ctx context.Context, by Holder, machine string, wave int64) (MachineAnswer, error)
}
