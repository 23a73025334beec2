package load

import (
	"fmt"
	"math/rand/v2"
	"time"

	"laburnumrouter/platform/outside"
)

const (
	stormEvery  = 8 * time.Second
	stormLength = 4 * time.Second
	// stormRoutes is the number of routes of a configuration in a storm, on average.
	stormRoutes = 400
	// changedPart is the part of the routes that a change in a storm changes.
	changedPart = 20
)

// Storm is a time, since the start of the operators, in which changes follow each other without a pause and the configuration has
// Routes more routes, which no caller uses.
type Storm struct {
	From, Until time.Duration
	Routes      int
}

// String describes a storm on a line.
func (s Storm) String() string {
	return fmt.Sprintf("%8.3fs for %.3fs  storm of changes with %d routes more", s.From.Seconds(), (s.Until - s.From).Seconds(), s.Routes)
}

// DrawStorms draws the storms of a run. They depend on the arguments only.
func DrawStorms(seed uint64, duration time.Duration) []Storm {
	rng := rand.New(rand.NewPCG(seed, 5))
	var list []Storm
	for at := time.Duration(rng.Int64N(int64(stormEvery))) / 2; at < duration; at += stormEvery + time.Duration(rng.Int64N(int64(stormEvery))) {
		list = append(list, Storm{From: at, Until: min(at+stormLength, duration), Routes: stormRoutes/2 + rng.IntN(stormRoutes)})
	}
	return list
}

// stormRoutesAt returns the number of routes that a storm adds at a time; 0 if there is none.
func stormRoutesAt(storms []Storm, at time.Duration) int {
	for _, s := range storms {
		if s.From <= at && at < s.Until {
			return s.Routes
		}
	}
	return 0
}

// unusedQueues returns n queues that no caller uses. From one version to the next, one in changedPart changes and changes back.
func unusedQueues(n int, version int64, pool string) []outside.Queue {
	list := make([]outside.Queue, n)
	for i := range list {
		list[i] = outside.Queue{Name: fmt.Sprintf("unused%d", i), Host: host, Pool: pool, MaxAttempts: MaxAttempts}
		if int64(i%changedPart) == version%changedPart {
			list[i].MaxAttempts++
		}
	}
	return list
}
