package logging

import (
	"sync"
	"time"
)

// Limit bounds the lines of one kind: at most Lines in each period of Every. It is safe for concurrent use.
type Limit struct {
	Lines int
	Every time.Duration

	mu      sync.Mutex
	began   time.Time // of the current period
	lines   int       // in the current period
	omitted int       // since the last line
}

// Allow reports whether a line may be written now, and how many were left out since the last one.
func (l *Limit) Allow(now time.Time) (omitted int, ok bool) {
	l.mu.Lock()
	defer l.mu.Unlock()
	if now.Sub(l.began) >= l.Every {
		l.began, l.lines = now, 0
	}
	if l.lines >= l.Lines {
		l.omitted++
		return 0, false
	}
	l.lines++
	omitted, l.omitted = l.omitted, 0
	return omitted, true
}
