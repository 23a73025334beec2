// Package dispatch runs jobs on backend servers. Its Engine is the replicated state on every control instance; the
// leader's session plans, orders runs, keeps leases and takes note of ends. What leaves the process goes through
// the interfaces of this file.
package dispatch

import (
	"context"

	"github.com/zeebo/errs"

	"laburnumrouter/internal/request/ledger"
)

// Error is the class of all errors of this package.
var Error = errs.Class("dispatch")

// Target is an incarnation of a backend server.
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
	// DeadlineMS is the end of the lease on the server's clock.
	DeadlineMS int64
	// Fence is the leader's fencing token.
	Fence uint64
}

// StartAnswer is what a server says to a StartOrder.
type StartAnswer int

// Answers to a StartOrder. All but StartTaken mean that this order started nothing.
const (
	StartTaken StartAnswer = iota
	// StartFenced: a higher fencing token was used.
	StartFenced
	// StartOld: the run or a later one was stopped or has ended there.
	StartOld
	// StartLate: the deadline has passed.
	StartLate
	// StartNoRoom: it does not fit.
	StartNoRoom
	// StartUnhealthy: the server takes nothing now.
	StartUnhealthy
	// StartInvalid: the server can't read the order.
	StartInvalid
	// StartElsewhere: another incarnation answers at the address.
	StartElsewhere
	// StartTicket: the advice service's ticket is missing or no longer valid.
	StartTicket
)

// String names the answer for log lines.
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

// HoldOrder renews the lease of everything on a server and asks what runs and what has ended.
type HoldOrder struct {
	Fence uint64
	// DeadlineMS is the end of the lease on the server's clock; 0 leaves it.
	DeadlineMS int64
	// AckedEnd is the number of the newest end that is committed.
	AckedEnd int64
	// WaitMS lets the answer wait for an end.
	WaitMS int64
}

// HoldReport is a server's answer to a HoldOrder.
type HoldReport struct {
	ClockMS  int64
	Born     int64
	Running  []RunningTask
	Finished []FinishedTask
}

// RunningTask is a run on a server.
type RunningTask struct {
	Task       ledger.TaskID
	Run        int
	Checkpoint string
	// Percent is how much of the task is at work.
	Percent int
	// Figure is the tail of response times in milliseconds for a task that serves, else the CPU in use.
	Figure int64
}

// FinishedTask is a run that ended on a server.
type FinishedTask struct {
	// Number grows with each end of an incarnation.
	Number     int64
	Task       ledger.TaskID
	Run        int
	How        ledger.How
	Checkpoint string
}

// PaceOrder lets a task work at a share of its speed.
type PaceOrder struct {
	Task    ledger.TaskID
	Run     int
	Percent int
	Fence   uint64
}

// Errors of calls to backend servers. After any other error the order may still be carried out.
var (
	// ErrElsewhere: another incarnation answers at the address.
	ErrElsewhere = Error.New("another incarnation answers at the backend server's address")
	// ErrFenced: a higher fencing token was used.
	ErrFenced = Error.New("a higher fencing token was used")
)

// Servers sends orders to backend servers.
type Servers interface {
	Start(ctx context.Context, to Target, o StartOrder) (answer StartAnswer, clockMS int64, err error)
	Stop(ctx context.Context, to Target, o StopOrder) error
	Hold(ctx context.Context, to Target, o HoldOrder) (*HoldReport, error)
	Pace(ctx context.Context, to Target, o PaceOrder) error
}

// MachineState is what the platform says of a machine.
type MachineState string

// States of a machine.
const (
	MachineUp     MachineState = "up"
	MachineMoving MachineState = "moving"
	MachineUpkeep MachineState = "upkeep"
	MachineDown   MachineState = "down"
)

// Machine is a machine of the platform; a backend server is one life of it.
type Machine struct {
	Name   string
	Pool   string
	State  MachineState
	Server string
}

// MachineAnswer is what the platform says to an order for a machine.
type MachineAnswer int

// Answers to orders for machines.
const (
	MachineTaken MachineAnswer = iota
	// MachineFenced: a higher fencing token was used for the machine.
	MachineFenced
	// MachineBusy: the machine isn't up, or it is leaving.
	MachineBusy
	// MachineNotInWave: the machine is not of that wave.
	MachineNotInWave
	// MachineRefused: no such machine or pool.
	MachineRefused
	// MachineThrottled: too many calls; nothing was done.
	MachineThrottled
)

// String names the answer for log lines.
func (a MachineAnswer) String() string {
	names := [...]string{"taken", "fenced", "busy", "not-in-wave", "refused", "throttled"}
	if int(a) < len(names) {
		return names[a]
	}
	return "unknown"
}

// Holder names who gives an order for a machine.
type Holder struct {
	Name  string
	Fence uint64
}

// Machines is the platform's interface to machines.
type Machines interface {
	// List returns one page and the token of the next; an empty token ends the list.
	List(ctx context.Context, page string) (list []Machine, next string, err error)
	Move(ctx context.Context, by Holder, machine, pool string) (MachineAnswer, error)
	Upkeep(ctx context.Context, by Holder, machine string, wave int64) (MachineAnswer, error)
}
