package ledger

import (
	"bytes"
	"cmp"
	"crypto/sha256"
	"encoding/json"
	"slices"
)

// maxCompletedWaves bounds the records of completed waves, from FormatCompletedWaves on. An order that is repeated after its record
// was dropped counts as new.
const maxCompletedWaves = 4096

// Wave is the record of a maintenance wave: the order and the progress of its machines.
type Wave struct {
	WaveOrder
	StartedMS int64
	// Phases holds the phase of each machine; a machine without an entry is in phase UpkeepDue.
	Phases map[string]UpkeepPhase
	// Digest is that of the order of a completed wave, from FormatCompletedWaves on. It takes the place of Machines and Phases; Count
	// is the number of machines.
	Digest []byte `json:",omitempty"`
	Count  int    `json:",omitempty"`
}

// Completed reports whether the upkeep of every machine is over.
func (w *Wave) Completed() bool {
	for _, m := range w.Machines {
		if w.Phases[m] != UpkeepDone {
			return false
		}
	}
	return true
}

// Size returns the number of machines.
func (w *Wave) Size() int { return max(w.Count, len(w.Machines)) }

// Down returns the number of machines whose upkeep was ordered and isn't over.
func (w *Wave) Down() int { return w.inPhase(UpkeepOrdered) }

// Over returns the number of machines whose upkeep is over.
func (w *Wave) Over() int { return w.Count + w.inPhase(UpkeepDone) }

func (w *Wave) inPhase(phase UpkeepPhase) int {
	n := 0
	for _, p := range w.Phases {
		if p == phase {
			n++
		}
	}
	return n
}

// sameOrder reports whether an order is the one that the wave records.
func (w *Wave) sameOrder(o *WaveOrder) bool {
	if w.Digest != nil {
		return bytes.Equal(w.Digest, o.digest())
	}
	return slices.Equal(w.Machines, o.Machines) && w.DurationMS == o.DurationMS && w.Bound == o.Bound
}

// digest identifies the contents of an order.
func (o *WaveOrder) digest() []byte {
	data, _ := json.Marshal([]any{o.Machines, o.DurationMS, o.Bound}) // names and numbers can always be encoded
	sum := sha256.Sum256(data)
	return sum[:]
}

func (l *Ledger) applyWave(o *WaveOrder) Verdict {
	if existing := l.Waves[o.Number]; existing != nil {
		if existing.sameOrder(o) {
			return Accepted
		}
		return Conflict
	}
	w := &Wave{WaveOrder: *o, StartedMS: l.ClockMS, Phases: make(map[string]UpkeepPhase)}
	l.Waves[o.Number] = w
	l.bytes += w.size()
	return Accepted
}

func (l *Ledger) applyUpkeep(m UpkeepTransition) {
	w := l.Waves[m.Wave]
	if w == nil || w.Digest != nil || m.Phase <= w.Phases[m.Machine] {
		return
	}
	w.Phases[m.Machine] = m.Phase
	if l.Format >= FormatCompletedWaves && w.Completed() {
		l.compactWave(w)
		l.dropWaves()
	}
}

// compactCompletedWaves compacts the waves that were completed before FormatCompletedWaves.
func (l *Ledger) compactCompletedWaves() {
	for _, w := range l.Waves {
		if w.Completed() {
			l.compactWave(w)
		}
	}
	l.dropWaves()
}

// compactWave keeps of a completed wave what a repeated order and questions about it need.
func (l *Ledger) compactWave(w *Wave) {
	l.bytes -= w.size()
	w.Digest, w.Count = w.digest(), len(w.Machines)
	w.Machines, w.Phases = nil, nil
	l.bytes += w.size()
	l.completedWaves++
}

// dropWaves drops the completed waves that were ordered first, beyond maxCompletedWaves.
func (l *Ledger) dropWaves() {
	if l.completedWaves <= maxCompletedWaves {
		return
	}
	var completed []*Wave
	for _, w := range l.Waves {
		if w.Digest != nil {
			completed = append(completed, w)
		}
	}
	slices.SortFunc(completed, func(a, b *Wave) int {
		return cmp.Or(cmp.Compare(a.StartedMS, b.StartedMS), cmp.Compare(a.Number, b.Number))
	})
	for _, w := range completed[:len(completed)-maxCompletedWaves] {
		delete(l.Waves, w.Number)
		l.bytes -= w.size()
		l.completedWaves--
	}
}
