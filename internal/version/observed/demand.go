package observed

import "time"

// Demand is the waiting and running work of a pool at one moment, in slots.
type Demand struct {
	Waiting int
	Running int
}

// Demand sums the demand for each pool over the entries with a fresh report. It lags by up to the interval
// between reports.
func (f *Fleet) Demand(now time.Time) map[string]Demand {
	sum := make(map[string]Demand)
	for _, e := range f.Entries {
		if !e.Fresh(now) {
			continue
		}
		for _, p := range e.Report.Pools {
			d := sum[p.Pool]
			d.Waiting += int(p.Waiting)
			d.Running += int(p.Running)
			sum[p.Pool] = d
		}
	}
	return sum
}
