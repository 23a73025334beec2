package fleet

import "time"

// ColdLeft returns how much longer a server is slow after its start, at now and at the time of day wallMS. coldStartMS is
// how long servers of its pool are, for one that doesn't report it itself.
func (s *Server) ColdLeft(now time.Duration, wallMS, coldStartMS int64) time.Duration {
	if s.ColdLeftMS >= 0 {
		return max(0, time.Duration(s.ColdLeftMS)*time.Millisecond-(now-s.AnnouncedAt))
	}
	if coldStartMS <= 0 {
		return 0
	}
	// Servers' times of day may differ from ours by seconds, so the result is bounded.
	return time.Duration(min(coldStartMS, max(0, s.Born+coldStartMS-wallMS))) * time.Millisecond
}

// ColdLimit bounds the starts on a cold server: PerS a second, with a burst of Burst.
type ColdLimit struct{ PerS, Burst float64 }

// ColdStarts returns how many starts a cold server may get at now.
func (s *Server) ColdStarts(now time.Duration, limit ColdLimit) int {
	return int(s.coldStartsLeft(now, limit))
}

// TakeColdStart records a start on a cold server.
func (s *Server) TakeColdStart(now time.Duration, limit ColdLimit) {
	s.coldStarts, s.coldStartsAt = s.coldStartsLeft(now, limit)-1, now
}

func (s *Server) coldStartsLeft(now time.Duration, limit ColdLimit) float64 {
	burst := max(1, limit.Burst) // with less, no start would ever be allowed
	if s.coldStartsAt == 0 {
		return burst
	}
	return min(burst, s.coldStarts+limit.PerS*(now-s.coldStartsAt).Seconds())
}
