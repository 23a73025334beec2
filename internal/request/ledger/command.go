package ledger

import "laburnumrouter/internal/version/accepted"

// Command is one entry of the log. Its parts are applied in the order of the fields.
type Command struct {
	// NowMS is the leader's time of day in milliseconds since 1970.
	NowMS  int64
	Config *accepted.Config `json:",omitempty"`
	Submit *Submission      `json:",omitempty"`
	// Cancel is the ID of a job to cancel. An unknown one is remembered, so that a late submission doesn't run.
	Cancel string  `json:",omitempty"`
	Ends   []End   `json:",omitempty"`
	Starts []Start `json:",omitempty"`
	// Servers are backend servers that appeared, moved or said that they leave.
	Servers []Server `json:",omitempty"`
	// Gone are incarnations that ended.
	Gone   []Incarnation `json:",omitempty"`
	Wave   *WaveOrder    `json:",omitempty"`
	Upkeep []UpkeepMark  `json:",omitempty"`
	// Moves are machines that are about to be ordered to another pool.
	Moves []MachineMove `json:",omitempty"`
	// By is the term of the leader that orders Upkeep and Moves.
	By uint64 `json:",omitempty"`
	// Sizes are numbers of machines that pools have before any was moved; the first one of a pool counts.
	Sizes map[string]int `json:",omitempty"`
}

// How tells how a run ended.
type How string

// Ends of runs. The first six are what a backend server lists; the others are concluded by the leader.
const (
	EndDone    How = "done"
	EndFailed  How = "failed"
	EndStopped How = "stopped"
	EndLapsed  How = "lapsed"
	EndBroken  How = "broken"
	EndAlone   How = "alone"
	// EndRefused: the backend server rejected the start, so the run never was.
	EndRefused How = "refused"
	// EndLost: the backend server's incarnation is gone, or it knows nothing of the run and can't start it any more.
	EndLost How = "lost"
)

// Start orders a run of a task.
type Start struct {
	Task   TaskID
	Run    int
	Worker string
	Born   int64 `json:",omitempty"`
}

// End closes a run.
type End struct {
	Task   TaskID
	Run    int
	Worker string
	How    How
	// Checkpoint is the newest one known; empty leaves the recorded one.
	Checkpoint string `json:",omitempty"`
}

// Server is what a backend server says of itself.
type Server struct {
	ID         string
	Pool       string
	Address    string
	DataCentre string `json:",omitempty"`
	Capacity   Resources
	Labels     []string `json:",omitempty"`
	// Draining is set once the incarnation said that it leaves.
	Draining bool `json:",omitempty"`
	// RemainingMS is how long a draining server stays at least; 0 if it said nothing.
	RemainingMS int64 `json:",omitempty"`
	// Born identifies the incarnation: the time of its start in milliseconds since 1970.
	Born int64
	// Seq grows with each announcement of an incarnation.
	Seq int64 `json:",omitempty"`
	// ClockMS is its own steady clock.
	ClockMS int64 `json:",omitempty"`
}

// Incarnation is one life of a backend server.
type Incarnation struct {
	ID   string
	Born int64
}

// WaveOrder asks for the upkeep of machines.
type WaveOrder struct {
	Number   int64
	Machines []string
	// DurationMS is the time in which all must have had their upkeep.
	DurationMS int64
	// Bound is the largest number of machines that may be down for the wave at once.
	Bound int
}

// UpkeepPhase is where a machine of a wave stands.
type UpkeepPhase int

// Phases of a machine's upkeep.
const (
	// UpkeepDue: nothing was ordered.
	UpkeepDue UpkeepPhase = iota
	// UpkeepOrdered: the order may have been carried out.
	UpkeepOrdered
	// UpkeepOver: the machine had its upkeep and is back, or it no longer exists.
	UpkeepOver
)

// UpkeepMark moves a machine of a wave on.
type UpkeepMark struct {
	Wave    int64
	Machine string
	Phase   UpkeepPhase
}

// MachineMove orders a machine to a pool.
type MachineMove struct {
	Machine, Pool string
}

// Verdict tells what became of a part of a command.
type Verdict string

// Verdicts.
const (
	// Taken: the part is in force, now or by an earlier command with the same content.
	Taken Verdict = "taken"
	// Superseded: a higher version was in force already.
	Superseded Verdict = "superseded"
	// Conflict: other content is held under the same number.
	Conflict Verdict = "conflict"
	// Unknown: nothing of that name is known.
	Unknown Verdict = "unknown"
	// Unserved: the queue or the key is no longer in the configuration in force.
	Unserved Verdict = "unserved"
)

// Result is what Apply returns.
type Result struct {
	Config Verdict `json:",omitempty"`
	Submit Verdict `json:",omitempty"`
	Cancel Verdict `json:",omitempty"`
	Wave   Verdict `json:",omitempty"`
	// Started lists the starts that were taken, in order.
	Started []Start `json:",omitempty"`
	// Ended lists the ends that closed a run.
	Ended []End `json:",omitempty"`
}
