package dispatch

import (
	"laburnumrouter/internal/request/ledger"
	"laburnumrouter/internal/version/accepted"
)

// Op names an operation that only the leader carries out.
type Op string

// Operations.
const (
	OpSubmit    Op = "submit"
	OpState     Op = "state"
	OpCancel    Op = "cancel"
	OpPending   Op = "pending"
	OpPutConfig Op = "put-config"
	OpGetConfig Op = "get-config"
	OpAnnounce  Op = "announce"
	OpLeave     Op = "leave"
	OpStartWave Op = "start-wave"
	OpWaveState Op = "wave-state"
	// OpExplain and OpStatus are for operators' tools: a job by its ID in Path, and the fleet.
	OpExplain Op = "explain"
	OpStatus  Op = "status"
)

// Call is a request to the leader. The fields that an operation doesn't name stay empty.
type Call struct {
	Op Op
	// RequestID names the caller's request in log lines of all processes.
	RequestID string `json:",omitempty"`
	// Host, Path and Key are those of a caller's request: submit, state, cancel, pending.
	Host string `json:",omitempty"`
	Path string `json:",omitempty"`
	Key  string `json:",omitempty"`
	// Job is the job of submit; its ID, queue and team follow from Path and Key.
	Job *ledger.Submission `json:",omitempty"`
	// Config is that of put-config.
	Config *accepted.Config `json:",omitempty"`
	// Server is that of announce; of leave only its ID counts.
	Server *ledger.Server `json:",omitempty"`
	// Wave is that of start-wave; of wave-state only its number counts.
	Wave *ledger.WaveOrder `json:",omitempty"`
}

// Outcome is what became of a Call.
type Outcome string

// Outcomes.
const (
	// OK: done, or known already.
	OK Outcome = "ok"
	// NoQueue: no queue has the path.
	NoQueue Outcome = "no-queue"
	// NoKey: the key is missing or unknown.
	NoKey Outcome = "no-key"
	// Gone: no such job, wave or configuration.
	Gone Outcome = "gone"
	// Invalid: the request can't be accepted as it is.
	Invalid Outcome = "invalid"
	// Differs: other content is held under the same number.
	Differs Outcome = "conflict"
	// Overload: refused for now; it has not run and never will.
	Overload Outcome = "overload"
	// Unavailable: not carried out; it may be sent again.
	Unavailable Outcome = "unavailable"
	// Uncertain: it may have been carried out.
	Uncertain Outcome = "unknown"
)

// Reply answers a Call.
type Reply struct {
	Outcome Outcome
	Reason  string `json:",omitempty"`
	// RetryAfterMS tells when to come back after Overload or Unavailable.
	RetryAfterMS int64 `json:",omitempty"`
	// State is a job's.
	State ledger.JobState `json:",omitempty"`
	// Pending counts jobs of a queue.
	Pending int `json:",omitempty"`
	// Config is the newest configuration in the bytes in which it was sent.
	Config []byte `json:",omitempty"`
	// WaveCompleted is set once a wave is.
	WaveCompleted bool `json:",omitempty"`
	// Job and Status answer explain and status.
	Job    *JobView    `json:",omitempty"`
	Status *StatusView `json:",omitempty"`
	// Leader is the address of the instance that answered, for announcements to come.
	Leader string `json:",omitempty"`
}
