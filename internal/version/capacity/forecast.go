package capacity

import (
	"math"
	"time"

	"laburnumrouter/internal/version/observed"
)

// Forecast smooths the demand of pools exponentially. It follows rising demand with the time constant Rise
// of the policy and falling demand with Fall, so that a pool does not give up capacity because of a dip of a
// few seconds. The forecast is not persisted: a new leader starts from the demand that is reported to it.
type Forecast struct {
	riseConstant time.Duration
	fallConstant time.Duration
	lastUpdate   time.Time
	pools        map[string]*poolForecast
}

type poolForecast struct {
	slots   float64 // smoothed waiting and running work, in slots
	waiting int
	// shortageSince and surplusSince are when the current shortage or surplus began; zero if there is none.
	shortageSince time.Time
	surplusSince  time.Time
}

// NewForecast returns a forecast without any observed demand.
func NewForecast(p Policy) *Forecast {
	return &Forecast{riseConstant: p.Rise, fallConstant: p.Fall, pools: make(map[string]*poolForecast)}
}

// Observe updates the forecast with the demand of all pools at a time. A pool without reported demand counts
// as having none.
func (f *Forecast) Observe(demand map[string]observed.Demand, now time.Time) {
	elapsed := now.Sub(f.lastUpdate)
	first := f.lastUpdate.IsZero()
	f.lastUpdate = now
	for name, d := range demand {
		p := f.pool(name)
		p.waiting = d.Waiting
		f.smooth(p, float64(d.Waiting+d.Running), elapsed, first)
	}
	for name, p := range f.pools {
		if _, reported := demand[name]; !reported {
			p.waiting = 0
			f.smooth(p, 0, elapsed, first)
		}
	}
}

func (f *Forecast) smooth(p *poolForecast, slots float64, elapsed time.Duration, first bool) {
	timeConstant := f.riseConstant
	if slots < p.slots {
		timeConstant = f.fallConstant
	}
	if first {
		p.slots = slots
		return
	}
	p.slots += (slots - p.slots) * (1 - math.Exp(-elapsed.Seconds()/timeConstant.Seconds()))
}

func (f *Forecast) pool(name string) *poolForecast {
	p := f.pools[name]
	if p == nil {
		p = &poolForecast{}
		f.pools[name] = p
	}
	return p
}

// startOf returns when a condition began to hold, given start, its previous result: start if the condition still
// holds, now if it has just begun to hold, and the zero time if it does not hold.
func startOf(start time.Time, holds bool, now time.Time) time.Time {
	switch {
	case !holds:
		return time.Time{}
	case start.IsZero():
		return now
	}
	return start
}

// heldFor reports whether a condition that began at begin has held for at least d.
func heldFor(begin, now time.Time, d time.Duration) bool {
	return !begin.IsZero() && now.Sub(begin) >= d
}
