package dispatch

import (
	"time"

	"github.com/uber-go/tally/v4"
)

// stats are the metrics of the dispatcher.
type stats struct {
	commit       tally.Timer
	order        tally.Timer
	plan         tally.Timer
	call         tally.Timer
	refused      tally.Counter
	machineCalls tally.Counter
	// evacuatedDataCentres is the number of evacuated data centres, and startsDroppedEvacuated counts the starts that were
	// planned before the evacuation of the server's data centre and not ordered.
	evacuatedDataCentres   tally.Gauge
	startsDroppedEvacuated tally.Counter
	entries                tally.Counter
	planDelay              tally.Timer
	// crashed counts the runs whose server crashed, or may have, if that tells something about their task. givenUp counts the
	// tasks that were given up for it.
	crashed, givenUp tally.Counter
	// carriedOutLater counts the runs that were ordered from an incarnation of a server and carried out by a later one. missingEnds counts
	// the ends that a server forgot before this leader had read them.
	carriedOutLater, missingEnds tally.Counter
	// configProposals counts the proposals of configurations, copies included. configBytes is the size of the last one in the log, and
	// configCommit how long they took.
	configProposals tally.Counter
	configBytes     tally.Gauge
	configCommit    tally.Timer
	// unroutedJobs and unownedJobs are the open jobs whose queue, or whose workspace, the configuration in force lacks.
	unroutedJobs, unownedJobs tally.Gauge
	scope                     tally.Scope
}

// latencyBuckets double from 0.5 ms to 8 s. They range from the time of a plan to beyond proposeTimeout.
var latencyBuckets = tally.MustMakeExponentialDurationBuckets(500*time.Microsecond, 2, 15)

func newStats(scope tally.Scope) *stats {
	timer := func(name string) tally.Timer { return timerOf(scope.Histogram(name, latencyBuckets)) }
	return &stats{
		commit: timer("commit_latency"), order: timer("order_latency"), plan: timer("plan_latency"), call: timer("call_latency"),
		refused: scope.Counter("orders_refused"), machineCalls: scope.Counter("machine_calls"), entries: scope.Counter("log_entries"), planDelay: timer("plan_delay"), scope: scope,
		evacuatedDataCentres: scope.Gauge("evacuated_data_centres"), startsDroppedEvacuated: scope.Counter("starts_dropped_evacuated"),
		crashed: scope.Counter("runs_crashed"), givenUp: scope.Counter("tasks_given_up"),
		carriedOutLater: scope.Counter("runs_of_later_incarnations"), missingEnds: scope.Counter("ends_missing"),
		configProposals: scope.Counter("config_proposals"), configBytes: scope.Gauge("config_entry_bytes"), configCommit: timer("config_commit_latency"),
		unroutedJobs: scope.Gauge("jobs_without_queue"), unownedJobs: scope.Gauge("jobs_without_workspace"),
	}
}

// jobBuckets double from 250 ms to 17 min. They range from short jobs to long ones.
var jobBuckets = tally.MustMakeExponentialDurationBuckets(250*time.Millisecond, 2, 13)

// decided counts the outcome of a submission by queue and by workspace.
func (s *stats) decided(queue, workspace string, outcome Outcome) {
	s.scope.Tagged(map[string]string{"queue": queue, "outcome": string(outcome)}).Counter("submissions").Inc(1)
	s.scope.Tagged(map[string]string{"team": workspace, "outcome": string(outcome)}).Counter("team_submissions").Inc(1)
}

// finished records the time from the acceptance of a job to its final state.
func (s *stats) finished(queue, state string, took time.Duration) {
	s.scope.Tagged(map[string]string{"queue": queue, "state": state}).Histogram("job_latency", jobBuckets).RecordDuration(took)
}

type histogramTimer struct{ h tally.Histogram }

func timerOf(h tally.Histogram) tally.Timer { return histogramTimer{h} }

// Record implements tally.Timer.
func (t histogramTimer) Record(d time.Duration) { t.h.RecordDuration(d) }

// Start implements tally.Timer.
func (t histogramTimer) Start() tally.Stopwatch { return t.h.Start() }
