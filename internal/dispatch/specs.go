package dispatch

// JobSpec returns the spec of a job; known is false if this instance's ledger doesn't hold the job. A forwarder of orders
// uses it on instances that don't lead.
func (e *Engine) JobSpec(id string) (spec string, known bool) {
	e.mu.Lock()
	defer e.mu.Unlock()
	j := e.ledger.Job(id)
	if j == nil {
		return "", false
	}
	return j.Spec, true
}
