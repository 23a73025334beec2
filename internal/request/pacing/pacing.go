// Package pacing decides how fast tasks that fill may work beside tasks that serve users on the same backend server. It is
// pure; times are on one steady clock.
package pacing

import "time"

const (
	// Full is the percentage of a task that isn't slowed.
	Full = 100
	// least is the percentage under which a task that is slowed further stands still.
	least = 10
	// quarter divides the pace while a tail is over its target: two looks a second apart bring it to a standstill, well
	// inside the 4 s of interference_ms.
	quarter = 4
	// relief is the part of its target under which a tail of response times leaves room for more.
	relief = 0.8
	// step is by how many percent what fills is let go again at each look.
	step = 20
	// calm is how long all tails must leave room before that: disturbance changes within seconds.
	calm = time.Second
	// blameAfter is how long a tail must stay over its target beside fills that stand still until they aren't blamed any
	// more: the figure covers the last half second and comes with a report a second.
	blameAfter = 1500 * time.Millisecond
)

// Serving is a task that serves: the tail of its response times and what that must stay below, in milliseconds.
type Serving struct {
	FigureMS, TargetMS int64
}

// Server follows one backend server. The zero value lets everything work.
type Server struct {
	// slowed is by how many percent what fills is slowed.
	slowed int
	// stoppedAt is since when it stands still, roomSince since when all tails have left room; 0 for neither.
	stoppedAt, roomSince time.Duration
	// blameless is set while a tail is over its target although nothing filled beside it.
	blameless bool
}

// Percent is what the tasks that fill may work at.
func (s *Server) Percent() int { return Full - s.slowed }

// Look takes in what the tasks that serve report and returns what the tasks that fill may work at from now on. It quarters
// that while a tail is over its target, and gives it back in steps.
func (s *Server) Look(now time.Duration, serving []Serving) int {
	over, room := false, true
	for _, t := range serving {
		over = over || t.FigureMS > t.TargetMS
		room = room && float64(t.FigureMS) < relief*float64(t.TargetMS)
	}
	switch {
	case over:
		s.roomSince = 0
		s.slow(now)
	case room:
		s.blameless = false
		s.release(now)
	default:
		s.blameless, s.roomSince = false, 0
	}
	return s.Percent()
}

// slow quarters the pace, or gives it back if standing still didn't help.
func (s *Server) slow(now time.Duration) {
	if s.blameless {
		return
	}
	percent := s.Percent() / quarter
	if percent < least {
		percent = 0
	}
	if percent > 0 || s.slowed < Full {
		s.slowed = Full - percent
		s.stoppedAt = now
		return
	}
	if now-s.stoppedAt >= blameAfter {
		s.slowed, s.blameless = 0, true
	}
}

func (s *Server) release(now time.Duration) {
	if s.roomSince == 0 {
		s.roomSince = now
	}
	if now-s.roomSince >= calm {
		s.slowed = max(0, s.slowed-step)
	}
}
