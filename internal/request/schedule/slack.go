package schedule

import "laburnumrouter/internal/request/ledger"

// SlackMS returns the time in milliseconds that is left until a step of an occurrence must start so that its job meets its
// objective, by the submitter's estimates; negative if the job can't meet it any more. Lasting tasks have no objective.
func SlackMS(j *ledger.Job, occurrence, step int, slackFactor float64, objectiveMS, wallMS int64) int64 {
	estimate := estimateWork(j, occurrence)
	allowedMS := int64(slackFactor*float64(estimate.longestPathMS)) + objectiveMS
	return max(j.AcceptedMS, j.DueMS(occurrence)) + allowedMS - wallMS - estimate.criticalPathMS[step]
}
