package schedule

import (
	"fmt"
	"testing"

	"github.com/shoenig/test/must"

	"laburnumrouter/internal/request/ledger"
)

// Guards against the end of one server, or of one rack, that takes all tasks of a lasting step although others had room: the step may
// miss only some of them.
func TestTasksOfLastingStepAreSpread(t *testing.T) {
	cases := []struct {
		name            string
		servers         int
		tasks           int
		other           int // tasks of another lasting step that are placed before
		mostOnServer    int
		mostOnRack      int
		serversInUse    int
		cpuOfTask       int64
		placedInOnePlan int
	}{
		{name: "one a server where there is room", servers: 8, tasks: 5, mostOnServer: 1, mostOnRack: 2, serversInUse: 5, cpuOfTask: 500, placedInOnePlan: 5},
		{name: "evenly where there are fewer servers", servers: 4, tasks: 8, mostOnServer: 2, mostOnRack: 2, serversInUse: 4, cpuOfTask: 500, placedInOnePlan: 8},
		{name: "on servers that have lasting tasks of other steps", servers: 8, tasks: 5, other: 5, mostOnServer: 1, mostOnRack: 2, serversInUse: 5, cpuOfTask: 500, placedInOnePlan: 10},
		{name: "no reason to wait for room", servers: 2, tasks: 4, mostOnServer: 2, mostOnRack: 2, serversInUse: 2, cpuOfTask: 2000, placedInOnePlan: 4},
	}
	for _, c := range cases {
		t.Run(c.name, func(t *testing.T) {
			f := newFixture(t)
			for i := range c.servers {
				f.server(fmt.Sprint("s", i), "p", func(s *ledger.Server) { s.Labels = []string{"a", fmt.Sprint("rack", i%4)} })
			}
			lasting := newStep(c.tasks, c.cpuOfTask)
			lasting.Lasting, lasting.MayMiss = true, 1
			if other := lasting; c.other > 0 {
				other.Count = c.other
				f.submit("i", other)
			}
			f.submit("j", lasting)
			starts := f.plan(startMS)
			must.SliceLen(t, c.placedInOnePlan, starts)
			onServer, onRack, inUse := make(map[string]int), make(map[string]int), make(map[string]bool)
			for _, s := range starts {
				inUse[s.Worker] = true
				if s.Task.Job == "j" {
					onServer[s.Worker]++
					onRack[f.fleet.Get(s.Worker).Rack()]++
				}
			}
			for server, n := range onServer {
				must.LessEq(t, c.mostOnServer, n, must.Sprint(server))
			}
			for rack, n := range onRack {
				must.LessEq(t, c.mostOnRack, n, must.Sprint(rack))
			}
			must.MapLen(t, c.serversInUse, inUse)
		})
	}
}
