// Package platform is the client of the platform that runs the instances. The platform runs tasks under leases on
// instances, which are then called workers, and drains and reboots instances. Requests are idempotent: the platform carries
// out a request with the same id at most once, so a request whose response was lost can be sent again.
package platform

import (
	"context"

	"github.com/zeebo/errs"

	laburnumv1 "laburnumrouter/proto/laburnum/v1"
)

// Errors of this package.
var (
	// Error is the class of all errors.
	Error = errs.Class("platform")
	// ErrRefused is the class of refusals (4xx): the request had no effect and will not have one.
	ErrRefused = errs.Class("platform refused")
	// ErrUnreachable is the class of refused connections: the request had no effect.
	ErrUnreachable = errs.Class("platform unreachable")
	// ErrUncertain is the class of missing responses and of responses with status 3xx or 5xx: the request may have had its
	// effect.
	ErrUncertain = errs.Class("platform answer lost")
)

// Task is one attempt of a job on a worker.
type Task struct {
	// ID is unique for each attempt.
	ID      string                `json:"id"`
	Worker  string                `json:"worker"`
	Command string                `json:"command"`
	Size    *laburnumv1.Resources `json:"size"`
	// LeaseMS is the time in milliseconds after which the task ends unless it is renewed.
	LeaseMS int64 `json:"lease_ms"`
	// Checkpoint is the checkpoint from which the task resumes; empty to start from the beginning.
	Checkpoint string `json:"checkpoint,omitempty"`
}

// TaskState is the state of a task on the platform.
type TaskState string

// States of a task.
const (
	TaskRunning TaskState = "running"
	TaskEnded   TaskState = "ended"
	// TaskUnknown means that the platform has no record of the task and will not start it.
	TaskUnknown TaskState = "unknown"
)

// EndCause says what ended a task.
type EndCause string

// Causes of a task's end.
const (
	// CauseTask means that the task ended by itself, with success or failure.
	CauseTask EndCause = "task"
	// CauseWorker means that the worker went down while the task ran.
	CauseWorker EndCause = "worker"
	// CauseLease means that the task's lease expired.
	CauseLease EndCause = "lease"
	// CauseStopped means that the task was stopped on request.
	CauseStopped EndCause = "stopped"
)

// TaskReport is the platform's report about a task.
type TaskReport struct {
	ID     string    `json:"id"`
	State  TaskState `json:"state"`
	Worker string    `json:"worker"`
	// Succeeded reports whether an ended task succeeded; Reason says why it did not.
	Succeeded bool     `json:"succeeded"`
	Cause     EndCause `json:"cause,omitempty"`
	Reason    string   `json:"reason,omitempty"`
	// Usage is the highest use sampled so far, which may lack a recent rise; nil before the first sample.
	Usage *laburnumv1.Resources `json:"usage,omitempty"`
	// RanMS is how long the task has run, in milliseconds.
	RanMS      int64  `json:"ran_ms"`
	Checkpoint string `json:"checkpoint,omitempty"`
}

// Client is a client of one platform endpoint; each data centre has its own endpoint.
type Client interface {
	// Start runs a task under a lease. A second start of the same ID has no effect.
	Start(ctx context.Context, t *Task) error
	// Renew renews the leases of tasks and returns a report on each.
	Renew(ctx context.Context, ids []string, leaseMS int64) ([]TaskReport, error)
	// Checkpoint asks a task to save its progress; the report that follows names the checkpoint.
	Checkpoint(ctx context.Context, id string) error
	// Throttle limits what a task may use.
	Throttle(ctx context.Context, id string, size *laburnumv1.Resources) error
	// Stop ends a task. If the platform does not know the task, it will never start it.
	Stop(ctx context.Context, id string) error
	// Drain tells the platform that an instance takes no new tasks, or takes them again.
	Drain(ctx context.Context, instance string, on bool) error
	// Reboot reboots an instance once for each request id.
	Reboot(ctx context.Context, instance, id string) error
}
