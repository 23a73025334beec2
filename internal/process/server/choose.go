package server

import (
	"cmp"
	"slices"
	"time"
)

// stage is what a client's connection, or a stream of one, is doing.
type stage int32

const (
	stageHeader  stage = iota // it is new, or a header is being received
	stageBody                 // a body is being received
	stageWorking              // a request has been received in full and isn't answered yet
	stageIdle                 // it is open between requests
	stageEvicted              // it is being closed
)

// youngAge is the age below which a request that is being received is closed only after all idle connections. Ordinary requests
// are received within this time.
const youngAge = time.Second

// holding is what the choice of connections to be closed depends on.
type holding struct {
	stage stage
	since time.Duration // start of the stage, or of the request that is being received
	bytes int64
	// trusted marks connections of the system's own processes, which are never closed.
	trusted bool
	// untimed marks requests whose handler bounds their time itself.
	untimed bool
	// writing is set while a part of an answer is written, since when it is.
	writing bool
	writeAt time.Duration
}

// excess is by how much a process exceeds its bounds.
type excess struct {
	bytes int64
	conns int
}

func (e excess) none() bool { return e.bytes <= 0 && e.conns <= 0 }

// rank returns the order in which a connection is closed, lowest first, and false if it must not be closed.
func (h *holding) rank(now time.Duration) (int, bool) {
	const incomplete, idle, young, untaken = 0, 1, 2, 3
	switch {
	case h.trusted:
		return 0, false
	case h.stage == stageIdle:
		return idle, true
	case h.stage == stageWorking && h.writing && now-h.writeAt >= youngAge:
		return untaken, true
	case h.stage != stageHeader && h.stage != stageBody:
		return 0, false
	case now-h.since < youngAge:
		return young, true
	}
	return incomplete, true
}

// choose returns the indexes of the connections to be closed for an excess: first those whose request has been incomplete the
// longest, then the ones that are idle the longest, then young requests, the oldest first, and last those whose client doesn't take its
// answer. Other requests that were received in full are never chosen, so the result may free less than the excess.
func choose(all []holding, now time.Duration, over excess) []int {
	type candidate struct{ index, rank int }
	candidates := make([]candidate, 0, len(all))
	for i := range all {
		if rank, ok := all[i].rank(now); ok {
			candidates = append(candidates, candidate{i, rank})
		}
	}
	slices.SortFunc(candidates, func(a, b candidate) int {
		return cmp.Or(cmp.Compare(a.rank, b.rank), cmp.Compare(all[a.index].since, all[b.index].since))
	})
	var chosen []int
	for _, c := range candidates {
		if over.none() {
			break
		}
		over.bytes -= all[c.index].bytes
		over.conns--
		chosen = append(chosen, c.index)
	}
	return chosen
}

// receiveBound bounds the time in which a request must be received, or a part of an answer taken: base, and more for each second in
// which rate bytes of it arrive.
type receiveBound struct {
	base time.Duration
	rate int64 // bytes of a body per second
}

// exceeded reports whether a request of which received bytes of the body have arrived has taken longer than the bound.
func (b receiveBound) exceeded(h *holding, received int64, now time.Duration) bool {
	if h.trusted || h.untimed || (h.stage != stageHeader && h.stage != stageBody) {
		return false
	}
	earned := time.Duration(float64(received) / float64(b.rate) * float64(time.Second))
	return now-h.since > b.base+earned
}

// untaken reports whether a part of an answer, of size bytes, has been written for longer than the bound.
func (b receiveBound) untaken(h *holding, size int64, now time.Duration) bool {
	if h.trusted || h.untimed || h.stage != stageWorking || !h.writing {
		return false
	}
	return now-h.writeAt > b.base+time.Duration(float64(size)/float64(b.rate)*float64(time.Second))
}
