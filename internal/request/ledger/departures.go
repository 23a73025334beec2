package ledger

const (
	// departureRetentionMS is how long a departed incarnation is remembered. An announcement may arrive 12 s after it was sent.
	// A server that still announces itself after this time has not left, whatever an earlier message said.
	departureRetentionMS = 30_000
	// maxDepartures bounds the record. It exceeds the number of servers to design for (4,400), so that even all of them can
	// leave within departureRetentionMS.
	maxDepartures = 10_000
)

// Departure records that an incarnation of a backend server has left.
type Departure struct {
	Incarnation
	// AtMS is the leader's time of day in milliseconds since 1970.
	AtMS int64
}

// HasLeft reports whether an incarnation of a backend server, or a later one, is remembered as departed.
func (l *Ledger) HasLeft(server string, born int64) bool {
	newest, ok := l.departed[server]
	return ok && born <= newest
}

// recordDeparture remembers that an incarnation has left.
func (l *Ledger) recordDeparture(g Incarnation) {
	if l.HasLeft(g.ID, g.Born) {
		return
	}
	l.Departures = append(l.Departures, Departure{Incarnation: g, AtMS: l.ClockMS})
	l.bytes += l.Departures[len(l.Departures)-1].size()
	l.departed[g.ID] = g.Born
}

// expireDepartures forgets departures that are older than departureRetentionMS, and the oldest beyond maxDepartures.
func (l *Ledger) expireDepartures() {
	n := max(0, len(l.Departures)-maxDepartures)
	for n < len(l.Departures) && l.Departures[n].AtMS+departureRetentionMS < l.ClockMS {
		n++
	}
	for i := range n {
		l.bytes -= l.Departures[i].size()
	}
	if n > 0 {
		l.Departures = append([]Departure(nil), l.Departures[n:]...)
		l.indexDepartures()
	}
}

// indexDepartures rebuilds the lookup of departed incarnations.
func (l *Ledger) indexDepartures() {
	l.departed = make(map[string]int64, len(l.Departures))
	for _, d := range l.Departures {
		l.departed[d.ID] = max(l.departed[d.ID], d.Born)
	}
}
