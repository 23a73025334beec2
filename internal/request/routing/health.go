package routing

import (
	"container/heap"
	"sort"
	"time"
)

const (
	// failuresToEject is the number of consecutive failures after which an instance is ejected.
	failuresToEject = 5
	// An instance is a latency outlier if its mean time to response headers exceeds slowFactor times the median of
	// the pool's means and is at least minSlowMean. In a pool with fewer than maxEjectedDivisor instances in service,
	// means are not compared.
	slowFactor  = 5
	minSlowMean = 50 * time.Millisecond
	// minSamples is the number of responses needed before a mean is compared with the median.
	minSamples = 20
	// meanDivisor sets the weight of one response in the moving mean: 1/meanDivisor. The mean is compared after
	// every meanDivisor responses.
	meanDivisor = 16
	// At most 1/maxEjectedDivisor of a pool's instances may be ejected at one time; in a pool of two, one may be. The
	// last instance of a pool is never ejected.
	maxEjectedDivisor = 3
	// firstEjection is the length of the first ejection. Each further ejection lasts twice as long, up to maxEjection,
	// until the instance passes a probation.
	firstEjection = 5 * time.Second
	maxEjection   = time.Minute
	// answersToEndProbation is the number of responses in a row that end the probation of a readmitted instance.
	answersToEndProbation = 3
)

// health holds the statistics on an instance's responses and the state of its ejection.
type health struct {
	failures                int // in a row
	samples                 int
	mean                    time.Duration // moving mean of the time to response headers
	ejectedUntil            time.Time     // end of the ejection, zero if not ejected
	ejections               int           // since the instance last passed a probation
	probation               bool          // readmitted, limited to one slot
	answersInRow            int           // responses since the last failure or ejection
	ejectionRefusalReported bool          // the event ejection-refused was sent; reset by a response
}

func (h *health) ejected(now time.Time) bool { return now.Before(h.ejectedUntil) }

func (h *health) record(result Result, took time.Duration) {
	switch result {
	case Failed:
		h.failures++
		h.answersInRow = 0
	case Answered:
		h.failures, h.ejectionRefusalReported = 0, false
		h.samples++
		h.mean += (took - h.mean) / time.Duration(min(h.samples, meanDivisor))
		h.answersInRow++
	}
	if h.probation && h.answersInRow >= answersToEndProbation {
		h.probation, h.ejections = false, 0
	}
}

// recordResult records the result of a request and ejects the instance if it fails too often or is too slow.
func (t *table) recordResult(m *member, result Result, took time.Duration, now time.Time) []Event {
	if result == Neutral {
		return nil
	}
	m.health.record(result, took)
	reason := t.ejectionReason(m)
	if reason == "" || m.index < 0 {
		return nil
	}
	if !t.mayEject(now) {
		return t.reportRefusedEjection(m, reason)
	}
	return t.eject(m, reason, now)
}

// ejectionReason returns why an instance should be ejected, or an empty string.
func (t *table) ejectionReason(m *member) string {
	h := &m.health
	if h.failures >= failuresToEject || (h.probation && h.failures > 0) {
		return "failed several requests in a row, or one on probation"
	}
	if h.samples < minSamples || h.mean < minSlowMean || len(t.heap) < maxEjectedDivisor {
		return ""
	}
	if h.samples%meanDivisor != 0 {
		return ""
	}
	if median, ok := t.medianMean(); ok && h.mean > slowFactor*median {
		return "answers far slower than the pool"
	}
	return ""
}

// medianMean returns the median of the means of the instances in service; ok is false if none of them has answered yet.
func (t *table) medianMean() (median time.Duration, ok bool) {
	means := make([]time.Duration, 0, len(t.heap))
	for _, m := range t.heap {
		if m.health.samples > 0 {
			means = append(means, m.health.mean)
		}
	}
	sort.Slice(means, func(i, j int) bool { return means[i] < means[j] })
	if len(means) == 0 {
		return 0, false
	}
	return means[len(means)/2], true
}

// mayEject reports whether one more instance may be ejected.
func (t *table) mayEject(now time.Time) bool {
	ejected := 0
	for _, m := range t.members {
		if m.health.ejected(now) {
			ejected++
		}
	}
	total := ejected + len(t.heap)
	return len(t.heap) > 1 && (ejected+1)*maxEjectedDivisor <= max(total, maxEjectedDivisor)
}

// reportRefusedEjection returns an event, once until the instance's next response, that an instance stays in the pool
// only because no more may be ejected.
func (t *table) reportRefusedEjection(m *member, reason string) []Event {
	if m.health.ejectionRefusalReported {
		return nil
	}
	m.health.ejectionRefusalReported = true
	return []Event{{Pool: t.pool, Instance: m.view.Instance, Action: "ejection-refused", Reason: reason + ", but no more instances of the pool may be ejected"}}
}

func (t *table) eject(m *member, reason string, now time.Time) []Event {
	duration := min(maxEjection, firstEjection<<min(m.health.ejections, 8))
	m.health = health{ejectedUntil: now.Add(duration), ejections: m.health.ejections + 1}
	heap.Remove(&t.heap, m.index)
	return []Event{{Pool: t.pool, Instance: m.view.Instance, Action: "ejected", Reason: reason}}
}

// readmit returns instances whose ejection has ended to the pool, on probation with one slot.
func (t *table) readmit(now time.Time) []Event {
	var events []Event
	for _, m := range t.members {
		if m.health.ejectedUntil.IsZero() || m.health.ejected(now) {
			continue
		}
		m.health.ejectedUntil = time.Time{}
		m.health.probation = true
		m.limit = 1
		t.fixHeap(m)
		events = append(events, Event{Pool: t.pool, Instance: m.assignment.GetInstance(), Action: "readmitted", Reason: "ejection ended; limited to one slot on probation"})
	}
	return events
}
