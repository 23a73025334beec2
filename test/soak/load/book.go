package load

import (
	"math/rand/v2"
	"sync"
	"time"

	"laburnumrouter/test/soak/history"
)

// job is a job that a caller has sent.
type job struct {
	id        string
	queue     string
	body      []byte
	steps     []history.Step
	cost      int64 // CPU times milliseconds
	accepted  bool
	unsettled bool // no answer said whether it was accepted
	cancelled bool
	ended     bool
	asked     bool // at the end of the run
}

// book is what all callers know together about jobs. It is safe for concurrent use.
type book struct {
	mu          sync.Mutex
	jobs        []*job
	outstanding int64 // cost of the jobs that were accepted and have not ended
}

func (b *book) add(j *job) {
	b.mu.Lock()
	defer b.mu.Unlock()
	b.jobs = append(b.jobs, j)
}

// answered notes the answer to a submission.
func (b *book) answered(j *job, status int) {
	b.mu.Lock()
	defer b.mu.Unlock()
	switch {
	case status/100 == 2 && !j.accepted:
		j.accepted, j.unsettled = true, false
		b.outstanding += j.cost
	case status == 0 || status == 502 || status == 504:
		j.unsettled = !j.accepted
	}
}

func (b *book) ended(j *job) {
	b.mu.Lock()
	defer b.mu.Unlock()
	if j.accepted && !j.ended {
		j.ended = true
		b.outstanding -= j.cost
	}
}

func (b *book) cancelled(j *job) {
	b.mu.Lock()
	defer b.mu.Unlock()
	j.cancelled = true
}

// pick returns one of the newest jobs that satisfies ok, or nil.
func (b *book) pick(rng *rand.Rand, ok func(*job) bool) *job {
	const newest, tries = 200, 12
	b.mu.Lock()
	defer b.mu.Unlock()
	if len(b.jobs) == 0 {
		return nil
	}
	for range tries {
		j := b.jobs[len(b.jobs)-1-rng.IntN(min(newest, len(b.jobs)))]
		if ok(j) {
			return j
		}
	}
	return nil
}

// unasked returns the accepted jobs that it has not returned before.
func (b *book) unasked() []*job {
	b.mu.Lock()
	defer b.mu.Unlock()
	var list []*job
	for _, j := range b.jobs {
		if j.accepted && !j.asked {
			j.asked = true
			list = append(list, j)
		}
	}
	return list
}

// full reports whether the work that was accepted takes longer than maxBacklog at a capacity.
func (b *book) full(capacity int64) bool {
	const maxBacklog = 12 * time.Second
	b.mu.Lock()
	defer b.mu.Unlock()
	return b.outstanding > capacity*maxBacklog.Milliseconds()
}
