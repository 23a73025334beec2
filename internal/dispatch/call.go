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
	// OpStageConfig stages chunks of a configuration. It has no effect that callers see.
	OpStageConfig Op = "stage-config"
	OpAnnounce    Op = "announce"
	OpLeave       Op = "leave"
	OpStartWave   Op = "start-wave"
	OpWaveState   Op = "wave-state"
	// OpEvacuate takes a data centre out of service or restores it.
	OpEvacuate Op = "evacuate"
	// OpExplain returns the job whose ID is in Path, OpStatus the state of the fleet. Both serve operators' tools.
	OpExplain Op = "explain"
	OpStatus  Op = "status"
	// OpCheckConfig returns what a configuration would leave without a queue or a workspace, and changes nothing.
	OpCheckConfig Op = "check-config"
)

// Call is a request to the leader. Fields that the operation does not use are empty.
type Call struct {
	Op Op
	// RequestID identifies the caller's request in the logs of all processes.
	RequestID string `json:",omitempty"`
	// Host, Path and Key come from the caller's request. Used by submit, state, cancel and pending.
	Host string `json:",omitempty"`
	Path string `json:",omitempty"`
	Key  string `json:",omitempty"`
	// AtLeast is the index of the newest log entry that the sender has acted on. Used by state and pending: an instance whose state
	// doesn't reflect it leaves the call to the leader.
	AtLeast uint64 `json:",omitempty"`
	// Job is the submitted job. Its ID, queue and workspace are derived from Path and Key. Used by submit.
	Job *ledger.Submission `json:",omitempty"`
	// Config is the new configuration. Used by put-config, unless Manifest describes the configuration, and by check-config.
	Config   *accepted.Config   `json:",omitempty"`
	Manifest *accepted.Manifest `json:",omitempty"`
	// Chunks are to be staged. Used by stage-config.
	Chunks []accepted.Chunk `json:",omitempty"`
	// Server describes a backend server. Used by announce and leave; leave reads only its ID.
	Server *ledger.Server `json:",omitempty"`
	// Wave is a maintenance wave. Used by start-wave and wave-state; wave-state reads only its number.
	Wave *ledger.WaveOrder `json:",omitempty"`
	// Evacuation is an order for a data centre. Its request ID is the call's. Used by evacuate.
	Evacuation *ledger.EvacuationOrder `json:",omitempty"`
}

// Renew returns the call to make after a reply that says that an order for a data centre was prepared before the newest one,
// and whether the reply says so. Only the process that a caller waits for may make it: to others, the order is outdated.
func (c *Call) Renew(r *Reply) (*Call, bool) {
	if c.Op != OpEvacuate || c.Evacuation == nil || r.NewestOrder == 0 {
		return c, false
	}
	renewed, order := *c, *c.Evacuation
	order.After = r.NewestOrder
	renewed.Evacuation = &order
	return &renewed, true
}

// InChunks reports whether a call needs a leader that takes configurations in chunks. Earlier versions answer it with Invalid.
func (c *Call) InChunks() bool {
	return c.Op == OpStageConfig || c.Op == OpPutConfig && c.Manifest != nil
}

// hasParts reports whether the call has the parts that its operation uses.
func (c *Call) hasParts() bool {
	switch c.Op {
	case OpSubmit:
		return c.Job != nil
	case OpCheckConfig:
		return c.Config != nil
	case OpPutConfig:
		return c.Config != nil || c.Manifest != nil
	case OpStageConfig:
		return len(c.Chunks) > 0
	case OpAnnounce, OpLeave:
		return c.Server != nil && c.Server.ID != ""
	case OpStartWave, OpWaveState:
		return c.Wave != nil
	}
	return true
}

// Outcome is the result of a Call.
type Outcome string

// Outcomes.
const (
	// OK: carried out, or already in effect.
	OK Outcome = "ok"
	// NoQueue: no queue matches the host and path.
	NoQueue Outcome = "no-queue"
	// NoKey: the key is missing or unknown.
	NoKey Outcome = "no-key"
	// NotFound: no such job or wave.
	NotFound Outcome = "gone"
	// Invalid: the request is malformed.
	Invalid Outcome = "invalid"
	// Conflict: different content is already stored under the same number.
	Conflict Outcome = "conflict"
	// Overload: rejected because of load. This request was not and will not be carried out, but a new one may be.
	Overload Outcome = "overload"
	// Unavailable: not carried out; it may be retried.
	Unavailable Outcome = "unavailable"
	// OutcomeUnknown: it may have been carried out.
	OutcomeUnknown Outcome = "unknown"
)

// Reply is the answer to a Call.
type Reply struct {
	Outcome Outcome
	Reason  string `json:",omitempty"`
	// RetryAfterMS is the delay before a retry after Overload or Unavailable.
	RetryAfterMS int64 `json:",omitempty"`
	// State is the state of the job.
	State ledger.JobState `json:",omitempty"`
	// Pending is the number of pending jobs of the queue.
	Pending int `json:",omitempty"`
	// Config is the newest configuration, byte for byte as it was submitted.
	Config []byte `json:",omitempty"`
	// Missing holds the digests of the chunks that the log lacks to put the configuration of a manifest in force. Nothing has changed.
	Missing [][]byte `json:",omitempty"`
	// Whole is set if the configuration of a manifest must be sent whole. Nothing has changed.
	Whole bool `json:",omitempty"`
	// Chunked is set by leaders that take configurations in chunks, in answers to calls with them.
	Chunked bool `json:",omitempty"`
	// WaveCompleted is set once the wave is completed.
	WaveCompleted bool `json:",omitempty"`
	// NewestOrder is set if an order for a data centre had no effect because it was prepared before the newest one. It is the
	// number of that one.
	NewestOrder int64 `json:",omitempty"`
	// Job answers explain, with the jobs of other places that have its ID in Namesakes; Status answers status and check-config.
	Job       *JobView    `json:",omitempty"`
	Namesakes []*JobView  `json:",omitempty"`
	Status    *StatusView `json:",omitempty"`
	// Index is that of a log entry up to which the answer may reflect the log; 0 from instances of an earlier version.
	Index uint64 `json:",omitempty"`
	// Leader is the address of the instance that answered. Later announcements go there.
	Leader string `json:",omitempty"`
}
