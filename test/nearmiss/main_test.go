package main

import (
	"strings"
	"testing"

	"github.com/shoenig/test/must"
)

// Guards against near misses that are missed, or counted twice by what a former leader logs after it has been replaced.
func TestFiguresOfLog(t *testing.T) {
	const prefix = "  1.2 core-a 2026-01-01T00:00:01.000Z [INFO]  laburnum-control.dispatch: "
	p := newPlay()
	must.NoError(t, p.read(strings.NewReader(prefix+strings.Join([]string{
		`tasks placed: term=1 job=j step=0 tasks=3 servers=["a", "b", "a"]`,
		`lasting task works: term=1 task=j.0.0.0 run=1 server=a`,
		`lasting task works: term=1 task=j.0.0.1 run=1 server=b`,
		`lasting task works: term=1 task=j.0.0.2 run=1 server=a`,
		`lease lapsed on a server that answers: term=1 task=j.0.0.0 run=1 server=a lasting=true silent_for=5s`,
		`lease lapsed on a server that answers: term=1 task=j.0.0.2 run=1 server=a lasting=true silent_for=5s`,
		`lasting task works: term=2 task=j.0.0.2 run=2 server=b`,
		`run lapsed: term=1 task=j.0.0.2 run=2 server=b`,
		`run is stopped: term=2 task=j.0.0.1 run=1 server=b reason="its machine has upkeep" others="away [] of 3, may miss 1, oldest report 1.5s"`,
	}, "\n"+prefix))))
	must.EqOp(t, "lapsed=2 most_of_a_step=2 gone=0 steps_by_most_on_one_server=map[2:1] stops_by_others_away=map[1:1] oldest_report=1.50", p.String())
}
