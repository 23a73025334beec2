package failure

import (
	"flag"
	"fmt"
	"math/rand/v2"
	"strings"
	"sync"
	"testing"
	"time"

	"github.com/shoenig/test/must"

	"laburnumrouter/test/harness"
)

// chaosSeed determines the faults of TestGuaranteesHoldUnderCombinedFaults; other seeds are for longer trials.
var chaosSeed = flag.Uint64("chaos.seed", 42, "seed of the faults that come together")

// faultInjector injects random faults one after the other while the load runs. Each call of injectFault also ends its
// fault.
type faultInjector struct {
	t   *testing.T
	f   *harness.Fleet
	rng *rand.Rand
	// accepted maps the file of each accepted sheet to the answer of its first apply.
	accepted  map[string]string
	lastSheet int
}

func (c *faultInjector) randomEntry() *harness.Node { return c.f.Entries[c.rng.IntN(len(c.f.Entries))] }

func (c *faultInjector) randomControl() *harness.Node {
	return c.f.Controls[c.rng.IntN(len(c.f.Controls))]
}

func (c *faultInjector) pause() { time.Sleep(time.Duration(200+c.rng.IntN(800)) * time.Millisecond) }

func (c *faultInjector) restart(n *harness.Node) {
	must.NoError(c.t, n.Kill())
	c.pause()
	must.NoError(c.t, n.Start())
}

func (c *faultInjector) freeze(n *harness.Node) {
	must.NoError(c.t, n.Freeze())
	c.pause()
	must.NoError(c.t, n.Thaw())
}

// applyRivals applies two sheets of the same new number one after the other; both may go unanswered.
func (c *faultInjector) applyRivals() {
	c.lastSheet++
	for i := range 2 {
		path := writeSheet(c.t, c.f, c.lastSheet, fmt.Sprintf("team,,balm%d,,,,,,,,1,5,serve", i))
		out, err := c.f.CtlAt([]string{c.randomControl().Public}, "--timeout", "2s", "apply", path)
		if err == nil {
			c.accepted[path] = out
		}
	}
}

func (c *faultInjector) injectFault() {
	switch c.rng.IntN(7) {
	case 0:
		c.restart(c.randomEntry())
	case 1:
		c.restart(c.randomControl())
	case 2:
		c.freeze(c.randomEntry())
	case 3:
		c.freeze(c.randomControl())
	case 4:
		c.f.Cut("dc2")
		c.pause()
		c.applyRivals()
		c.f.Heal("dc2")
	case 5:
		c.f.BlackholeConnections()
	default:
		c.applyRivals()
	}
	c.pause()
}

// TestGuaranteesHoldUnderCombinedFaults injects faults of all kinds in quick succession while workspaces send more requests
// than their limits allow. It checks that no limit was exceeded, that no idempotency key ran twice, or at all if it was last
// reported as not run, that each answer belongs to its request, and that applying an accepted sheet again gets its first
// answer.
func TestGuaranteesHoldUnderCombinedFaults(t *testing.T) {
	t.Parallel()
	const steps = 14
	f := startFleet(t, twoDataCentres)
	c := &faultInjector{t: t, f: f, rng: rand.New(rand.NewPCG(*chaosSeed, *chaosSeed)), accepted: make(map[string]string), lastSheet: 1}
	reported := newReportedOutcomes()
	var mismatched sync.Map // answers that belong to another request, by idempotency key
	plain := startLoad(f.Entries, 20, func(int) request { return request{workspace: "soap", ms: 60} })
	keyed := startLoad(f.Entries, 10, func(i int) request {
		return request{workspace: "oils", id: fmt.Sprintf("dc%d/chaos-%d", 1+i%2, i/3), ms: 10}
	})
	keyed.observe(func(r request, a answer) {
		if a.err == nil && a.outcome != "" {
			reported.set(r.id, a.outcome)
			reported.addDetail(r.id, a)
		}
		if a.answered() && !strings.HasSuffix(a.body, "deposit "+r.id) {
			mismatched.Store(r.id, a.body)
		}
	})
	for range steps {
		c.injectFault()
	}
	answers := plain.stop()
	keyed.stop()

	must.LessEq(t, limit, peakConcurrency(t, f, "soap"))
	must.LessEq(t, limit, peakConcurrency(t, f, "oils"))
	mismatched.Range(func(id, body any) bool {
		t.Errorf("%v got the answer %q", id, body)
		return true
	})
	runs := totalRuns(t, f)
	for id, n := range runs {
		must.LessEq(t, 1, n, must.Sprintf("%s ran more than once", id))
	}
	for id, outcome := range reported.last {
		if outcome == "not-run" {
			must.Eq(t, 0, runs[id], must.Sprintf("%s was reported as not run: %s", id, reported.details[id]))
		}
	}
	for path, first := range c.accepted {
		eventually(t, "a resend gets the first answer", func() bool {
			again, err := f.Ctl("apply", path)
			return err == nil && again == first
		})
	}
	t.Logf("%d sheets accepted, %d of %d plain requests answered, %d ids ran", len(c.accepted), count(answers, answer.answered), len(answers), len(runs))
	must.Greater(t, 0, count(answers, answer.answered))
	for _, e := range f.Entries {
		eventually(t, e.Name+" answers again", func() bool { return send(e, request{workspace: "soap"}).answered() })
	}
}
