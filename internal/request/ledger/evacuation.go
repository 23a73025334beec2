package ledger

import "slices"

// retainedOrderIDs is the number of request IDs that are kept for each data centre. A process repeats an order for less than
// a second, or for as long as an operator's tool waits, by default 10 s.
const retainedOrderIDs = 16

// Evacuation is the state of a data centre for which there was an order. It is kept when the data centre is restored, so
// that delayed orders are recognized.
type Evacuation struct {
	// Evacuated is set while no task may start in the data centre.
	Evacuated bool `json:",omitempty"`
	// Number counts the orders for the data centre.
	Number int64
	// RequestIDs holds the request IDs of the last retainedOrderIDs orders, the oldest first.
	RequestIDs []string
	// SinceMS is the leader's time of day of the order that last changed Evacuated, in milliseconds since 1970.
	SinceMS int64
}

// applyEvacuation applies an order for a data centre and returns the verdict and the number of the newest order. An order
// that changes nothing gets a number too, because it makes earlier ones that are still on their way outdated.
func (l *Ledger) applyEvacuation(o *EvacuationOrder) (Verdict, int64) {
	e := l.Evacuations[o.DataCentre]
	if e == nil {
		e = &Evacuation{}
	}
	if slices.Contains(e.RequestIDs, o.RequestID) {
		return Accepted, e.Number
	}
	if o.After != e.Number {
		return Outdated, e.Number
	}
	l.Evacuations[o.DataCentre] = e
	e.Number++
	if len(e.RequestIDs) == retainedOrderIDs {
		e.RequestIDs = e.RequestIDs[1:]
	}
	e.RequestIDs = append(e.RequestIDs, o.RequestID)
	if e.Evacuated != o.Evacuate {
		e.Evacuated, e.SinceMS = o.Evacuate, l.ClockMS
	}
	if o.Evacuate {
		l.evacuated[o.DataCentre] = true
	} else {
		delete(l.evacuated, o.DataCentre)
	}
	return Accepted, e.Number
}

// Evacuated returns the set of evacuated data centres; the caller must not change the map.
func (l *Ledger) Evacuated() map[string]bool { return l.evacuated }

// Evacuation returns the state of a data centre, or nil if there was no order for it.
func (l *Ledger) Evacuation(dataCentre string) *Evacuation { return l.Evacuations[dataCentre] }
