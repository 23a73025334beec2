package ledger

import (
	"reflect"

	"laburnumrouter/internal/version/accepted"
)

// Command is one entry of the replicated log. Its parts are applied in the order of the fields.
type Command struct {
	// NowMS is the leader's time of day in milliseconds since 1970.
	NowMS  int64
	Config *accepted.Config `json:",omitempty"`
	// PackedConfig is a configuration as accepted.Config.Pack encodes it, in place of Config. Earlier versions ignore it, so it is
	// used only from FormatPackedConfig on.
	PackedConfig []byte `json:",omitempty"`
	// Chunks are staged for a Manifest that follows, in this command or a later one. Manifest puts a configuration in force whose
	// chunks are staged, or belong to earlier ones. Both have no effect before FormatConfigChunks.
	Chunks   []accepted.Chunk   `json:",omitempty"`
	Manifest *accepted.Manifest `json:",omitempty"`
	Submit   *Submission        `json:",omitempty"`
	// Submits and Cancels hold several submissions and cancellations. Earlier versions ignore them, so they are used only
	// from FormatLists on.
	Submits []*Submission `json:",omitempty"`
	// Cancel is the ID of a job to cancel. An unknown ID is recorded as cancelled, so that a submission that arrives after
	// its cancellation doesn't run.
	Cancel  string   `json:",omitempty"`
	Cancels []string `json:",omitempty"`
	// CancelsAt takes the place of Cancel and Cancels from FormatPlaces on, where an ID alone names no job.
	CancelsAt []JobRef `json:",omitempty"`
	// Evacuation takes a data centre out of service or restores it. It precedes Starts, so that it applies to those of the same
	// command.
	Evacuation *EvacuationOrder `json:",omitempty"`
	// Begun lists jobs of which a backend server has accepted or reported a run.
	Begun []string `json:",omitempty"`
	// Unanswered lists starts that got no answer, for the next leader. Earlier versions ignore it; it is used from FormatIncarnations on.
	Unanswered []Start `json:",omitempty"`
	Ends       []End   `json:",omitempty"`
	Starts     []Start `json:",omitempty"`
	// Servers lists backend servers that appeared, changed their pool or address, or announced that they are draining.
	Servers []Server `json:",omitempty"`
	// Gone lists incarnations of backend servers that ended.
	Gone []Incarnation `json:",omitempty"`
	// Left lists those of Gone that said themselves that they leave. Only they are remembered as departed: a server that was
	// removed for its silence may announce itself again.
	Left   []Incarnation      `json:",omitempty"`
	Wave   *WaveOrder         `json:",omitempty"`
	Upkeep []UpkeepTransition `json:",omitempty"`
	// Moves lists machines that the leader is about to move to another pool.
	Moves []MachineMove `json:",omitempty"`
	// Unmoved lists those of Moves that were not sent or were refused, so that they can't be carried out.
	Unmoved []MachineMove `json:",omitempty"`
	// By is the term, and so the fencing token, of the leader that orders Upkeep and Moves.
	By uint64 `json:",omitempty"`
	// Sizes holds, by pool, the number of machines before any was moved. Only the first value of a pool is recorded.
	Sizes map[string]int `json:",omitempty"`
	// Format raises the format of later commands. It is committed once all members understand it.
	Format int `json:",omitempty"`
	// Places comes with a Format of FormatPlaces or higher, unless that is in force already.
	Places *PlacesUpdate `json:",omitempty"`
}

// Formats of commands. Each includes the earlier ones; 0 is the first.
const (
	// FormatLists: commands may have Submits and Cancels.
	FormatLists = 1
	// FormatCrashes: ends may have Crash.
	FormatCrashes = 2
	// FormatGivenUp: a task that is given up or out of attempts doesn't fail its job while lasting tasks of the job go on.
	FormatGivenUp = 3
	// FormatLongLeases: leaders grant longer leases than members of earlier versions wait for.
	FormatLongLeases = 4
	// FormatGangRuns: a failed run of a gang counts once, whichever members failed, and a job whose queue isn't configured doesn't fail
	// for its attempts.
	FormatGangRuns = 5
	// FormatPackedConfig: commands and snapshots may have PackedConfig.
	FormatPackedConfig = 6
	// FormatFinishedBytes: the records of finished jobs are bounded in bytes, and expire earlier beyond that.
	FormatFinishedBytes = 7
	// FormatGangCheckpoint: the members of one run of a gang carry the same checkpoint.
	FormatGangCheckpoint = 8
	// FormatCompletedWaves: of a completed wave only a digest of its order is kept, and the records of completed waves are bounded.
	FormatCompletedWaves = 9
	// FormatConfigChunks: commands may have Chunks and Manifest, and snapshots hold the chunks of configurations.
	FormatConfigChunks = 10
	// FormatPlaces: a job belongs to the queue at the place where it was submitted, and to the successor of its workspace, whatever their
	// names are. Two jobs of different places may have one ID. Servers may have Replaces.
	FormatPlaces = 11
	// FormatIncarnations: leaders give each incarnation of a backend server a fencing token of its own, higher than the terms that members
	// of earlier versions use. Servers may have Restarted, and commands Unanswered.
	FormatIncarnations = 12
	// NewestFormat is the newest format that this version understands.
	NewestFormat = FormatIncarnations
)

// minPackedBytes is the size of a configuration as sent from which on it is compressed. A smaller one, as on most days, isn't worth
// the processor time.
const minPackedBytes = 16 << 10

// ConfigCommand returns a command that puts a configuration in force, in a format that all members understand.
func ConfigCommand(config *accepted.Config, format int) (*Command, error) {
	if format < FormatPackedConfig || len(config.Raw) < minPackedBytes {
		return &Command{Config: config}, nil
	}
	packed, err := config.Pack()
	return &Command{PackedConfig: packed}, err
}

// unpack decodes the configuration of a command.
func (c *Command) unpack() error {
	if c.PackedConfig == nil {
		return nil
	}
	config, err := accepted.Unpack(c.PackedConfig)
	if err == nil {
		c.Config = config
	}
	return err
}

// OnlyJobs reports whether a command has no other parts than Submit, Cancel, their lists, CancelsAt, Begun, Unanswered, Ends and Starts. Parts that
// are added to Command later count as others.
func (c *Command) OnlyJobs() bool {
	rest := *c
	rest.NowMS = 0
	rest.Submit, rest.Submits, rest.Cancel, rest.Cancels, rest.CancelsAt = nil, nil, "", nil, nil
	rest.Begun, rest.Unanswered, rest.Ends, rest.Starts = nil, nil, nil, nil
	return reflect.ValueOf(rest).IsZero()
}

// EachSubmit calls f for each submission with its verdict.
func (c *Command) EachSubmit(r *Result, f func(*Submission, Verdict)) {
	if c.Submit != nil {
		f(c.Submit, r.Submit)
	}
	for i, s := range c.Submits {
		f(s, r.Submits[i])
	}
}

// EndCause is the way in which a run ended.
type EndCause string

// Ways in which a run ends. A backend server reports the first six; the leader determines the last two, and EndLapsed for
// an unreachable server.
const (
	// EndDone: the run succeeded.
	EndDone EndCause = "done"
	// EndFailed: the run failed; this uses up one of the task's attempts.
	EndFailed EndCause = "failed"
	// EndStopped: the run was stopped by an order.
	EndStopped EndCause = "stopped"
	// EndLapsed: the lease of the run's backend server lapsed. The server reports this, or the leader concludes it while the
	// server is unreachable.
	EndLapsed EndCause = "lapsed"
	// EndGangFailed: another member of the run's gang ended without success.
	EndGangFailed EndCause = "broken"
	// EndGangIncomplete: the other members of the run's gang didn't start in time.
	EndGangIncomplete EndCause = "alone"
	// EndRefused: the run never began. Its start order was not sent, or it was rejected by the backend server or by another
	// incarnation at its address.
	EndRefused EndCause = "refused"
	// EndLost: the backend server's incarnation is gone, or the server doesn't list the run and no order to start it can
	// still arrive.
	EndLost EndCause = "lost"
)

// provesBegin reports whether only a run that had begun can end in this way. A lapsed or lost run may have begun or not, and
// the members of a gang begin only once all are there.
func (c EndCause) provesBegin(gang bool) bool {
	switch c {
	case EndDone:
		return true
	case EndFailed, EndStopped:
		return !gang
	}
	return false
}

// Inconclusive reports whether the leader may have concluded an end of this cause without a report of the run's end.
func (c EndCause) Inconclusive() bool { return c == EndLapsed || c == EndLost }

// Start orders a run of a task. Worker is the ID of the backend server, Born its incarnation.
type Start struct {
	Task   TaskID
	Run    int
	Worker string
	Born   int64 `json:",omitempty"`
}

// End records how a run of a task ended. Worker is the ID of the backend server.
type End struct {
	Task   TaskID
	Run    int
	Worker string
	How    EndCause
	// Checkpoint is the newest checkpoint known; if it is empty, the recorded one stays.
	Checkpoint string `json:",omitempty"`
	// Crash is set if the run ended with its server's incarnation or, for EndLapsed, may have. Earlier versions ignore it, so
	// it is used only from FormatCrashes on.
	Crash CrashEvidence `json:",omitempty"`
}

// Server is a backend server's announcement of itself.
type Server struct {
	ID         string
	Pool       string
	Address    string
	DataCentre string `json:",omitempty"`
	Capacity   Resources
	Labels     []string `json:",omitempty"`
	// Draining is set once the incarnation has announced that it leaves.
	Draining bool `json:",omitempty"`
	// RemainingMS is the minimum time for which a draining server stays up, counted from its announcement; 0 if it announced
	// none.
	RemainingMS int64 `json:",omitempty"`
	// ColdLeftMS is how much longer the server is slow after its start, counted from its announcement; negative if it doesn't
	// report this.
	ColdLeftMS int64 `json:",omitempty"`
	// Born identifies the incarnation: its start time in milliseconds since 1970.
	Born int64
	// Replaces is the Born of the recorded incarnation if that is higher although this one began later, on a clock that was set back.
	// The leader has found out that the other is gone. It isn't kept, and has no effect before FormatPlaces.
	Replaces int64 `json:",omitempty"`
	// Restarted is set if another incarnation with this ID was recorded before.
	Restarted bool `json:",omitempty"`
	// Seq increases with each announcement of an incarnation.
	Seq int64 `json:",omitempty"`
	// ClockMS is a reading of the server's own monotonic clock.
	ClockMS int64 `json:",omitempty"`
}

const (
	// maxNumber bounds the times and sequence numbers of an announcement, so that sums with them don't overflow.
	maxNumber = 1 << 53
	// maxLabels and maxTextBytes bound the texts of an announcement, which every replica keeps.
	maxLabels    = 64
	maxTextBytes = 512
)

// Check validates an announcement and returns an error for the first fault found.
func (s *Server) Check() error {
	c := s.Capacity
	if min(c.CPU, c.MemMB, c.GPU) < 0 || max(c.CPU, c.MemMB, c.GPU) > maxNeed {
		return Error.New("the capacity of a backend server must be 0 to %d of each resource", int64(maxNeed))
	}
	if min(s.Born, s.Seq, s.ClockMS, s.RemainingMS) < 0 || max(s.Born, s.Seq, s.ClockMS, s.RemainingMS) > maxNumber {
		return Error.New("the times and the sequence number of a backend server must be 0 to %d", int64(maxNumber))
	}
	if len(s.Labels) > maxLabels {
		return Error.New("a backend server may have at most %d labels", maxLabels)
	}
	for _, text := range append([]string{s.ID, s.Pool, s.Address, s.DataCentre}, s.Labels...) {
		if len(text) > maxTextBytes {
			return Error.New("a name of a backend server is longer than %d bytes", maxTextBytes)
		}
	}
	return nil
}

// Incarnation identifies one start of a backend server: a restart with the same ID is a new incarnation.
type Incarnation struct {
	ID   string
	Born int64
}

// WaveOrder orders a maintenance wave: the upkeep of a set of machines within a given time.
type WaveOrder struct {
	Number   int64
	Machines []string
	// DurationMS is the time within which the upkeep of all machines must be over.
	DurationMS int64
	// Bound is the largest number of machines that may be down for the wave at the same time.
	Bound int
}

// UpkeepPhase is the progress of a machine's upkeep within a wave.
type UpkeepPhase int

// Phases of a machine's upkeep.
const (
	// UpkeepDue: the upkeep hasn't been ordered.
	UpkeepDue UpkeepPhase = iota
	// UpkeepOrdered: the upkeep was ordered, and the order may have been carried out.
	UpkeepOrdered
	// UpkeepDone: the machine is up again after its upkeep, or it no longer exists.
	UpkeepDone
)

// UpkeepTransition advances a machine of a wave to a later phase.
type UpkeepTransition struct {
	Wave    int64
	Machine string
	Phase   UpkeepPhase
	// Server is the backend server that the machine carried when its upkeep was ordered; empty if there was none.
	Server string `json:",omitempty"`
}

// EvacuationOrder takes a data centre out of service, or restores it.
type EvacuationOrder struct {
	DataCentre string
	// Evacuate is set to take the data centre out of service. If it isn't set, the data centre is restored.
	Evacuate bool `json:",omitempty"`
	// RequestID identifies the order: one that is applied twice has no effect the second time.
	RequestID string
	// After is the number of the newest order for the data centre that the sender knows of; 0 if it knows of none. The order has
	// no effect if there is a newer one: it was delayed, and that one may have been acknowledged to an operator meanwhile.
	After int64 `json:",omitempty"`
}

// MachineMove orders the move of a machine to a pool. Server is the backend server that the machine carried when the move was
// planned; empty if there was none.
type MachineMove struct {
	Machine, Pool string
	Server        string `json:",omitempty"`
}

// MachineIntent is what a leader last ordered for a machine, whether or not the order was sent or carried out.
type MachineIntent struct {
	// Pool is the pool to which the machine was to move; empty for an upkeep.
	Pool string `json:",omitempty"`
	// Server is the backend server that the machine carried then; empty if there was none.
	Server string `json:",omitempty"`
}

// Verdict is the outcome of applying a part of a command.
type Verdict string

// Verdicts.
const (
	// Accepted: the part was accepted, by this command or by an earlier one.
	Accepted Verdict = "taken"
	// Superseded: a higher version of the configuration is already in force.
	Superseded Verdict = "superseded"
	// Conflict: different content is already recorded under the same version or wave number, or the tasks of a recorded job have the
	// names of the submitted one's in the same pool.
	Conflict Verdict = "conflict"
	// Outdated: the order was prepared before the newest order for the same data centre, and has no effect.
	Outdated Verdict = "outdated"
	// Unknown: the job to cancel is unknown.
	Unknown Verdict = "unknown"
	// NotConfigured: there is no configuration, or the one in force lacks the job's queue, or the queue isn't open and the
	// configuration lacks the job's workspace.
	NotConfigured Verdict = "unserved"
	// Reconfigured: another configuration has come into force since the submission was authorized. Nothing has changed.
	Reconfigured Verdict = "reconfigured"
	// Incomplete: chunks of the configuration are missing, or the log's format has no chunks yet. Nothing has changed.
	Incomplete Verdict = "incomplete"
	// Malformed: the manifest is invalid, or its chunks don't make up the configuration that it describes. Nothing has changed.
	Malformed Verdict = "malformed"
)

// Result holds the outcome of each part of a command; the verdict on a part that the command lacks is empty.
type Result struct {
	// Config is the verdict on the configuration or the manifest.
	Config Verdict `json:",omitempty"`
	// Missing holds the digests of the chunks that an incomplete configuration lacks.
	Missing [][]byte `json:",omitempty"`
	Submit  Verdict  `json:",omitempty"`
	Cancel  Verdict  `json:",omitempty"`
	// Submits, Cancels and CancelsAt are the verdicts on the lists, in order.
	Submits   []Verdict `json:",omitempty"`
	Cancels   []Verdict `json:",omitempty"`
	CancelsAt []Verdict `json:",omitempty"`
	Wave      Verdict   `json:",omitempty"`
	// Evacuation is the verdict on the order for a data centre. EvacuationNumber is the number of the newest order for it.
	Evacuation       Verdict `json:",omitempty"`
	EvacuationNumber int64   `json:",omitempty"`
	// Started lists the starts that were accepted, in order.
	Started []Start `json:",omitempty"`
	// Ended lists the ends that were accepted, each of which closed a live run.
	Ended []End `json:",omitempty"`
	// GivenUp lists the tasks that were given up because backend servers crashed under them. Their jobs have failed.
	GivenUp []GivenUpTask `json:",omitempty"`
	// Exhausted lists the tasks that were given up because a configuration leaves them no attempt.
	Exhausted []TaskID `json:",omitempty"`
}
