package ledger

import (
	"cmp"
	"slices"
	"strings"
)

const (
	// finishedJobRetentionMS is how long the record of a finished job is kept, so that it can be queried: five times the
	// users' bound of 120 s (status_s).
	finishedJobRetentionMS = 600_000
	// minFinishedRetentionMS is how long it is kept, from FormatFinishedBytes on, while all such records take up more than
	// maxFinishedBytes.
	minFinishedRetentionMS = 130_000
	maxFinishedBytes       = 16 << 20
	finishedJobBytes       = 512
)

// finishedBytes returns the size of the record of a finished job that counts for maxFinishedBytes. Members of all versions compute the
// same, and it doesn't change while the record is kept.
func (j *Job) finishedBytes() int {
	return finishedJobBytes + len(j.ID) + len(j.Queue) + len(j.Workspace)
}

func (l *Ledger) addFinished(j *Job) {
	l.finished = append(l.finished, j.Key())
	l.finishedBytes += j.finishedBytes()
}

func (l *Ledger) sortFinished() {
	slices.SortFunc(l.finished, func(a, b string) int {
		if c := cmp.Compare(l.Jobs[a].FinishedMS, l.Jobs[b].FinishedMS); c != 0 {
			return c
		}
		return strings.Compare(a, b)
	})
}

// expireFinished deletes jobs that finished longer ago than the retention time. It stops at a job with live runs.
func (l *Ledger) expireFinished() {
	for len(l.finished) > 0 {
		j := l.Jobs[l.finished[0]]
		switch {
		case j.FinishedMS+finishedJobRetentionMS <= l.ClockMS && j.Live == 0:
			l.dropFinished(1)
		case l.Format >= FormatFinishedBytes && l.finishedBytes > maxFinishedBytes && j.FinishedMS+minFinishedRetentionMS <= l.ClockMS:
			n, live := l.finishedTogether()
			if live {
				return
			}
			l.dropFinished(n)
		default:
			return
		}
	}
}

// finishedTogether returns how many jobs finished at the same time as the oldest, and whether one of them has live runs. Their
// order differs between a replica that applied their ends and one that restored a snapshot, so that they are dropped together.
func (l *Ledger) finishedTogether() (n int, live bool) {
	at := l.Jobs[l.finished[0]].FinishedMS
	for n < len(l.finished) && l.Jobs[l.finished[n]].FinishedMS == at {
		live = live || l.Jobs[l.finished[n]].Live > 0
		n++
	}
	return n, live
}

// dropFinished deletes the n jobs that finished first.
func (l *Ledger) dropFinished(n int) {
	for _, key := range l.finished[:n] {
		j := l.Jobs[key]
		l.finishedBytes -= j.finishedBytes()
		l.grow(j, -j.bytes)
		l.dropNumbered(j)
		delete(l.Jobs, key)
	}
	l.finished = l.finished[n:]
}
