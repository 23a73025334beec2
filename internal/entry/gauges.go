package entry

import (
	"context"
	"time"
)

// gaugeInterval is the interval at which the gauges are updated; scrapers poll about as often.
const gaugeInterval = 10 * time.Second

// gaugeLoop updates the gauges that alerts watch.
func (e *Entry) gaugeLoop(ctx context.Context) error {
	e.setGauges(e.now())
	return every(ctx, gaugeInterval, func() { e.setGauges(e.now()) })
}

func (e *Entry) setGauges(now time.Time) {
	view := e.store.View()
	ready, _ := e.ready.Ready()
	readiness := 0.0
	if ready {
		readiness = 1
	}
	e.scope.Gauge("ready").Update(readiness)
	e.scope.Gauge("in_force_index").Update(float64(view.Index))
	e.scope.Gauge("sheet_number").Update(float64(view.SheetNumber))
	e.scope.Gauge("quorum_age_seconds").Update(e.quorumContact.Age(now).Seconds())
	e.scope.Gauge("instances_known").Update(float64(len(e.directory.All())))
	if e.tlsSource != nil {
		e.scope.Gauge("certificate_expiry_unix").Update(float64(e.tlsSource.Expires().Unix()))
	}
}
