package upkeep

import (
	"fmt"
	"math/rand/v2"
	"slices"
	"testing"

	"github.com/shoenig/test/must"

	"laburnumrouter/internal/request/ledger"
)

// fleetWave is a wave over part of a fleet in virtual time: machines run short tasks, and some of them lasting tasks, of
// which each job may miss one at a time.
type fleetWave struct {
	now      int64
	machines []*waveMachine
	wave     *ledger.Wave
	away     map[LastingStep]int64 // until when a task of the step is away
}

type waveMachine struct {
	Machine
	busyUntil int64
	hidden    [2]int64 // from and to: cut off or without power
	downUntil int64
}

const (
	waveTick     = 200
	shortTaskMS  = 1500
	replacedInMS = 2000
)

// newFleetWave returns a wave of 160 of 350 machines, 60 at a time, in 27 s. tasks is the number of tasks of each of four
// lasting jobs on machines of the wave.
func newFleetWave(tasks int) *fleetWave {
	const fleet, inWave, jobs = 350, 160, 4
	f := &fleetWave{away: make(map[LastingStep]int64), wave: wave(60)}
	f.wave.DurationMS = 27_000
	for i := range fleet {
		m := &waveMachine{Machine: Machine{Name: fmt.Sprintf("m%03d", i), PoolInDemand: i%4 == 0}}
		if i < inWave {
			f.wave.Machines = append(f.wave.Machines, m.Name)
		}
		switch {
		case i >= 20 && i < 32: // a dead rack
			m.hidden = [2]int64{10_000, 17_000}
		case i >= 40 && i < 66: // a data centre is cut off
			m.hidden = [2]int64{14_000, 20_000}
		}
		f.machines = append(f.machines, m)
	}
	for j := range jobs {
		for i := range tasks {
			m := f.machines[(i*13+j)%inWave]
			m.Steps = append(m.Steps, LastingStep{Job: fmt.Sprint("j", j), MayMiss: 1})
		}
	}
	return f
}

// play runs the wave and returns when the last machine was back.
func (f *fleetWave) play(random *rand.Rand) (end int64) {
	for f.now = 0; f.now < 120_000; f.now += waveTick {
		var due []Machine
		done := 0
		for _, m := range f.machines[:len(f.wave.Machines)] {
			if f.wave.Phases[m.Name] == ledger.UpkeepOrdered && f.now >= m.downUntil {
				f.wave.Phases[m.Name] = ledger.UpkeepDone
				end = f.now
			}
			if f.wave.Phases[m.Name] == ledger.UpkeepDone {
				done++
				continue
			}
			if f.wave.Phases[m.Name] != ledger.UpkeepOrdered {
				due = append(due, f.describe(m, random))
			}
		}
		if done == len(f.wave.Machines) {
			return end
		}
		d := Next(f.wave, f.now, due)
		for _, name := range d.Reserve {
			f.machine(name).Reserved = true
		}
		for _, name := range d.Order {
			f.wave.Phases[name] = ledger.UpkeepOrdered
			f.machine(name).downUntil = f.now + downtimeMS
		}
	}
	return f.now
}

func (f *fleetWave) machine(name string) *waveMachine {
	return f.machines[slices.IndexFunc(f.machines, func(m *waveMachine) bool { return m.Name == name })]
}

// describe lets a machine's tasks go on and returns what Next is told of it.
func (f *fleetWave) describe(m *waveMachine, random *rand.Rand) Machine {
	m.Orderable = f.now < m.hidden[0] || f.now >= m.hidden[1]
	if f.now >= m.busyUntil && !m.Reserved && m.Orderable {
		m.busyUntil = f.now + random.Int64N(2*shortTaskMS) // new work comes
	}
	if m.Reserved && m.Orderable && len(m.Steps) > 0 {
		s := m.Steps[0]
		if f.now >= f.away[s] {
			f.away[s] = f.now + replacedInMS
			m.Steps = m.Steps[1:]
		}
	}
	m.Lasting, m.Runs = len(m.Steps), len(m.Steps)
	if f.now < m.busyUntil {
		m.Runs++
	}
	return m.Machine
}

// A wave over hundreds of machines ends in time although lasting tasks leave one after the other, a rack is dead and a data
// centre cut off meanwhile.
func TestWaveEndsInTime(t *testing.T) {
	for _, tasks := range []int{0, 4, 10} {
		for seed := range uint64(5) {
			f := newFleetWave(tasks)
			end := f.play(rand.New(rand.NewPCG(seed, 1)))
			t.Logf("%d lasting tasks of each job on machines of the wave, seed %d: the last is back at %d ms", tasks, seed, end)
			must.LessEq(t, f.wave.DurationMS, end)
		}
	}
}
