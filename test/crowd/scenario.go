package crowd

import (
	"testing"
	"time"

	"github.com/shoenig/test/must"
)

const (
	// patience is how long an ordinary caller repeats a request that is refused or gets no answer.
	patience       = 20 * time.Second
	attemptTimeout = 2 * time.Second
	retryInterval  = 250 * time.Millisecond
)

// Target is the process that a crowd meets.
type Target struct {
	PID       int
	Listeners []string // the addresses whose unread bytes count
	// MemoryMB and Descriptors are the limits of its machine; 0 means that one isn't checked.
	MemoryMB    int64
	Descriptors int
	// Ordinary sends one request of an ordinary caller on a connection of its own, and returns an error unless it is served.
	// It gives up after the timeout.
	Ordinary func(timeout time.Duration) error
}

// Endure opens a crowd and checks that an ordinary caller is served beside it and after it, and that the process lives and
// stays within its limits. meanwhile, if not nil, is a further check while the crowd is open.
func (g *Target) Endure(t *testing.T, open func() *Crowd, meanwhile func(*Crowd) error) {
	t.Helper()
	stop := Watch(g.PID, g.Listeners)
	c := open()
	c.Settle()
	beside := Repeat(g.Ordinary)
	var other error
	if meanwhile != nil {
		other = meanwhile(c)
	}
	counts := c.Counts()
	c.Close()
	after := Repeat(g.Ordinary)
	most, ended := stop()
	t.Logf("at its most: %s; crowd: %+v; beside it: %v; after it: %v", most, counts, beside, after)
	must.NoError(t, ended)
	if g.MemoryMB > 0 {
		must.LessEq(t, g.MemoryMB<<10, most.TotalKB, must.Sprint("memory in KiB, with unread bytes"))
	}
	if g.Descriptors > 0 {
		must.Less(t, g.Descriptors, most.Descriptors, must.Sprint("open descriptors"))
	}
	must.NoError(t, beside, must.Sprint("ordinary request beside the crowd"))
	must.NoError(t, after, must.Sprint("ordinary request after the crowd"))
	must.NoError(t, other)
}

// Repeat repeats an attempt until it succeeds, as a caller does that is refused or gets no answer, and returns its last error
// if it doesn't within patience.
func Repeat(attempt func(timeout time.Duration) error) error {
	deadline := time.Now().Add(patience)
	for {
		err := attempt(attemptTimeout)
		if err == nil || time.Now().After(deadline) {
			return err
		}
		time.Sleep(retryInterval)
	}
}
