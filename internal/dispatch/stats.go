package dispatch

import (
	"time"

	"github.com/uber-go/tally/v4"
)

// stats are the counters and latency histograms of the engine.
type stats struct {
	commit       tally.Timer
	order        tally.Timer
	plan         tally.Timer
	call         tally.Timer
	refused      tally.Counter
	machineCalls tally.Counter
	scope        tally.Scope
}

// latencyBuckets runs from half a millisecond to 8 s, twice as long each: from a plan to proposeTimeout and beyond.
var latencyBuckets = tally.MustMakeExponentialDurationBuckets(500*time.Microsecond, 2, 15)

func newStats(scope tally.Scope) *stats {
	timer := func(name string) tally.Timer { return timerOf(scope.Histogram(name, latencyBuckets)) }
	return &stats{
		commit: timer("commit_latency"), order: timer("order_latency"), plan: timer("plan_latency"), call: timer("call_latency"),
		refused: scope.Counter("orders_refused"), machineCalls: scope.Counter("machine_calls"), scope: scope,
	}
}

type histogramTimer struct{ h tally.Histogram }

func timerOf(h tally.Histogram) tally.Timer { return histogramTimer{h} }

// Record implements tally.Timer.
func (t histogramTimer) Record(d time.Duration) { t.h.RecordDuration(d) }

// Start implements tally.Timer.
func (t histogramTimer) Start() tally.Stopwatch { return t.h.Start() }
