package load

import (
	"net/http"
	"slices"
	"sync"
	"time"

	"laburnumrouter/test/soak/history"
)

// Planted faults between callers or operators and the system, by which the soak shows that its checker fails.
const (
	// PlantForget acknowledges submissions that are never sent.
	PlantForget = "submission-is-forgotten"
	// PlantRefuse shows an accepted submission as refused.
	PlantRefuse = "refusal-is-untrue"
	// PlantCut shows a complete answer as cut off.
	PlantCut = "answer-is-cut"
	// PlantPending shows a number of pending jobs of 0.
	PlantPending = "pending-is-zero"
	// PlantCompleted shows waiting jobs as completed.
	PlantCompleted = "completed-too-early"
	// PlantGone shows accepted jobs as unknown.
	PlantGone = "job-is-unknown"
	// PlantKey lets withdrawn keys pass.
	PlantKey = "withdrawn-key-passes"
	// PlantConfig acknowledges configurations that are never sent.
	PlantConfig = "configuration-is-forgotten"
	// PlantStale shows an old configuration to readers.
	PlantStale = "configuration-is-stale"
)

// Plants lists the planted faults of this package.
var Plants = []string{PlantForget, PlantRefuse, PlantCut, PlantPending, PlantCompleted, PlantGone, PlantKey, PlantConfig, PlantStale}

// tamperEvery is the share of the requests that a planted fault changes.
const tamperEvery = 7

// cutAfter is how long after the request PlantCut ends a connection.
const cutAfter = 300 * time.Millisecond

// Tamper changes requests and answers on their way, as its plant says. A nil Tamper changes nothing.
type Tamper struct {
	Plant string

	mu    sync.Mutex
	count int
	stale []byte
}

// acts reports whether the plant acts on this request.
func (t *Tamper) acts(plant string) bool {
	if t == nil || t.Plant != plant {
		return false
	}
	t.mu.Lock()
	defer t.mu.Unlock()
	t.count++
	return t.count%tamperEvery == 0
}

// key returns the key to send.
func (t *Tamper) key(key string, o *Operators) string {
	if t == nil || t.Plant != PlantKey {
		return key
	}
	o.mu.Lock()
	defer o.mu.Unlock()
	if slices.Contains(o.withdrawn, key) {
		return BaseKey
	}
	return key
}

// before returns the answer to a call that is not sent.
func (t *Tamper) before(e history.Event) (int, []byte, bool) {
	if e.Op == history.Submit && t.acts(PlantForget) {
		return http.StatusOK, nil, true
	}
	return 0, nil, false
}

// after returns the answer that the caller sees.
func (t *Tamper) after(e history.Event, status int, answer []byte, reason string) (int, []byte, string) {
	if status != http.StatusOK {
		return status, answer, reason
	}
	switch {
	case e.Op == history.Submit && t.acts(PlantRefuse):
		return http.StatusServiceUnavailable, nil, ""
	case e.Op == history.State && t.acts(PlantCut):
		time.Sleep(cutAfter)
		return 0, nil, errCut
	case e.Op == history.Pending && t != nil && t.Plant == PlantPending:
		return status, []byte(`{"pending":0}`), ""
	case e.Op == history.State && t.acts(PlantCompleted):
		return status, []byte(`{"state":"completed"}`), ""
	case e.Op == history.State && t.acts(PlantGone):
		return http.StatusGone, nil, ""
	}
	return status, answer, reason
}

// order returns the answer to an operator's order that is not sent.
func (t *Tamper) order(e history.Event) (int, bool) {
	return http.StatusOK, e.Version > 1 && t.acts(PlantConfig)
}

// config returns the configuration that a reader sees.
func (t *Tamper) config(e history.Event, body []byte) []byte {
	if t == nil || t.Plant != PlantStale || e.Status != http.StatusOK {
		return body
	}
	t.mu.Lock()
	defer t.mu.Unlock()
	if t.stale == nil {
		t.stale = body
	}
	return t.stale
}
