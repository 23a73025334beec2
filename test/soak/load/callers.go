package load

import (
	"context"
	"encoding/json"
	"fmt"
	"math/rand/v2"
	"net/http"
	"sync"
	"time"

	"golang.org/x/sync/errgroup"

	"laburnumrouter/test/soak/history"
	"laburnumrouter/test/soak/worker"
)

const (
	host = "jobs.example"
	// deadline is how long a caller waits for an answer, as it says in X-Deadline-Ms; patience is how long it really waits.
	deadline = 2500 * time.Millisecond
	patience = 3 * time.Second
	// MaxAttempts is how often a task may fail before its job fails.
	MaxAttempts = 3
)

// Queues maps the queues that every configuration has to their services.
var Queues = map[string]string{"alpha": "guarded", "beta": "unguarded"}

var queueNames = []string{"alpha", "beta"}

// Burst is a time in which callers send more.
type Burst struct {
	From, Until time.Duration
	Factor      float64
}

// Callers plays callers at all entry instances.
type Callers struct {
	Out       *history.Writer
	Names     []string // of the entry instances
	Addresses []string
	Operators *Operators
	// Refused reports whether a relay could not pass on the connection from an address.
	Refused func(address string) bool
	// Rate is the number of requests a second; Bursts raise it.
	Rate   float64
	Bursts []Burst
	// Capacity is what all workers run at once, in thousandths of a core.
	Capacity int64
	Tamper   *Tamper

	book  book
	began time.Time
	quiet sync.Once
	calm  chan struct{} // closed when no more new jobs are sent
}

// Run plays a number of callers until ctx ends.
func (c *Callers) Run(ctx context.Context, seed uint64, number int) error {
	c.began, c.calm = time.Now(), make(chan struct{})
	var group errgroup.Group
	for i := range number {
		rng := rand.New(rand.NewPCG(seed, uint64(i)))
		group.Go(func() error {
			c.call(ctx, rng, c.Rate/float64(number))
			return nil
		})
	}
	return group.Wait()
}

// SendNoMoreJobs ends the submission of new jobs.
func (c *Callers) SendNoMoreJobs() { c.quiet.Do(func() { close(c.calm) }) }

func (c *Callers) factor() float64 {
	at := time.Since(c.began)
	for _, b := range c.Bursts {
		if at >= b.From && at < b.Until {
			return b.Factor
		}
	}
	return 1
}

// caller is one caller with its connection.
type caller struct {
	*Callers
	rng   *rand.Rand
	entry int
	conn  *client
}

func (c *Callers) call(ctx context.Context, rng *rand.Rand, rate float64) {
	one := &caller{Callers: c, rng: rng}
	one.move()
	defer func() { one.conn.close() }()
	for {
		pause := time.Duration(rng.ExpFloat64() / (rate * c.factor()) * float64(time.Second))
		select {
		case <-ctx.Done():
			return
		case <-time.After(min(pause, 5*time.Second)):
		}
		one.act()
	}
}

// move turns to another entry instance.
func (c *caller) move() {
	if c.conn != nil {
		c.conn.close()
	}
	c.entry = c.rng.IntN(len(c.Addresses))
	c.conn = &client{address: c.Addresses[c.entry], refused: c.Refused}
}

// act sends one request of a random kind.
func (c *caller) act() {
	n := c.rng.IntN(100)
	select {
	case <-c.calm:
		n += 60 // nothing new
	default:
	}
	if c.factor() > 1 {
		n = max(0, n-25) // a burst is one of submissions
	}
	key := c.Operators.SomeKey(c.rng)
	settled := func(j *job) bool { return j.accepted }
	switch {
	case n < 45 && !c.book.full(c.Capacity):
		j := c.newJob()
		c.book.add(j)
		c.submit(j, key)
	case n < 58:
		if j := c.book.pick(c.rng, func(j *job) bool { return j.unsettled || c.rng.IntN(4) == 0 }); j != nil {
			c.submit(j, key)
		}
	case n < 78:
		if j := c.book.pick(c.rng, settled); j != nil {
			c.state(j, key, false)
		}
	case n < 92:
		queue, key := c.Operators.SomeQueue(c.rng)
		c.pending(queue, key)
	case n < 96:
		if j := c.book.pick(c.rng, settled); j != nil {
			c.book.cancelled(j)
			c.cancel(j, key)
		}
	default:
		c.move()
	}
}

// send sends a request, records it and returns its status and body. After a failure the caller turns to another entry.
func (c *caller) send(method, path string, body []byte, e history.Event) (int, []byte) {
	req := newRequest(method, c.conn.address, path, body)
	req.Host = host
	req.Header.Set("Authorization", "Bearer "+c.Tamper.key(e.Key, c.Operators))
	req.Header.Set("X-Deadline-Ms", fmt.Sprint(deadline.Milliseconds()))
	e.Kind, e.Node, e.Sent = history.Call, c.Names[c.entry], history.Now()
	status, answer, reason := 0, []byte(nil), ""
	if s, a, ok := c.Tamper.before(e); ok {
		status, answer = s, a
	} else {
		status, answer, reason = c.conn.do(req, patience)
		status, answer, reason = c.Tamper.after(e, status, answer, reason)
	}
	e.Status, e.Error = status, reason
	readAnswer(&e, answer)
	if reason != errDial {
		c.Out.Add(e)
	}
	if reason != "" {
		c.move()
	}
	return status, answer
}

// readAnswer sets what a successful answer says.
func readAnswer(e *history.Event, answer []byte) {
	if e.Status != http.StatusOK || e.Op != history.State && e.Op != history.Pending {
		return
	}
	var body struct {
		State   string `json:"state"`
		Pending *int   `json:"pending"`
	}
	err := json.Unmarshal(answer, &body)
	if err != nil || e.Op == history.State && body.State == "" || e.Op == history.Pending && body.Pending == nil {
		e.Error = "unreadable"
		return
	}
	e.State = body.State
	if body.Pending != nil {
		e.Pending = *body.Pending
	}
}

func (c *caller) submit(j *job, key string) int {
	e := history.Event{Op: history.Submit, Job: j.id, Queue: j.queue, Key: key, Steps: j.steps}
	status, _ := c.send(http.MethodPost, "/"+j.queue+"/"+j.id, j.body, e)
	c.book.answered(j, status)
	return status
}

// state asks for the state of a job, and returns whether it has ended.
func (c *caller) state(j *job, key string, last bool) bool {
	e := history.Event{Op: history.State, Job: j.id, Queue: j.queue, Key: key, Last: last}
	status, answer := c.send(http.MethodGet, "/"+j.queue+"/"+j.id, nil, e)
	e.Status = status
	readAnswer(&e, answer)
	switch e.State {
	case "completed", "failed", "cancelled":
		c.book.ended(j)
		return true
	}
	return false
}

func (c *caller) cancel(j *job, key string) {
	c.send(http.MethodDelete, "/"+j.queue+"/"+j.id, nil, history.Event{Op: history.Cancel, Job: j.id, Queue: j.queue, Key: key})
}

func (c *caller) pending(queue, key string) {
	c.send(http.MethodGet, "/"+queue+"/", nil, history.Event{Op: history.Pending, Queue: queue, Key: key})
}

// newJob draws a job of up to three steps, each after the one before.
func (c *caller) newJob() *job {
	j := &job{id: fmt.Sprintf("%016x", c.rng.Uint64()), queue: queueNames[c.rng.IntN(len(queueNames))]}
	var work worker.Work
	if c.rng.IntN(20) == 0 {
		work.FailPercent = 30
	}
	var phases []map[string]any
	for i := range 1 + c.rng.IntN(3) {
		s := history.Step{Count: 1 + c.rng.IntN(4), CPU: int64(500 << c.rng.IntN(3)), MS: 50 + c.rng.Int64N(350)}
		phase := map[string]any{"count": s.Count, "cpu": s.CPU, "mem_mb": 64, "estimate_ms": s.MS}
		if i > 0 {
			s.After = []int{i - 1}
			phase["after"] = s.After
		}
		j.steps, phases = append(j.steps, s), append(phases, phase)
		j.cost += int64(s.Count) * s.CPU * s.MS
		work.CPU, work.MS = append(work.CPU, s.CPU), append(work.MS, s.MS)
	}
	j.body = mustJSON(map[string]any{"spec": string(mustJSON(work)), "phases": phases})
	return j
}

func mustJSON(v any) []byte {
	data, err := json.Marshal(v)
	if err != nil {
		panic(err) // only types of this package are passed
	}
	return data
}
