package control

import (
	"github.com/uber-go/tally/v4"

	"laburnumrouter/internal/process/replica"
)

// setLogGauges sets the gauges that describe this instance's replica of the control log.
func setLogGauges(scope tally.Scope, s replica.Status) {
	scope.Gauge("term").Update(float64(s.Term))
	scope.Gauge("applied").Update(float64(s.Applied))
	scope.Gauge("voters").Update(float64(len(s.Voters)))
	scope.Gauge("learners").Update(float64(len(s.Learners)))
	scope.Gauge("failed").Update(boolValue(s.Failure != ""))
}
