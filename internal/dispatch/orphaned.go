package dispatch

import (
	"cmp"
	"slices"
	"time"

	"laburnumrouter/internal/process/boottime"
	"laburnumrouter/internal/request/forecast"
	"laburnumrouter/internal/request/ledger"
	"laburnumrouter/internal/version/accepted"
)

// UnroutedView counts the open jobs of a place at which the configuration has no queue. None of their tasks is started, and callers
// can't reach them.
type UnroutedView struct {
	// Host and Prefix are empty if an earlier version stored the jobs and their queue was gone before the place was known.
	Host, Prefix string
	// Queue is the name that the queue had when the first of the jobs was submitted.
	Queue string
	// Jobs counts the jobs and Runs their live runs, which go on.
	Jobs, Runs int
}

// UnownedView counts the open jobs of a workspace that the configuration lacks. They run within the limit that it had last.
type UnownedView struct {
	Workspace  string `json:"Team"`
	Jobs, Runs int
}

// orphaned holds what a configuration leaves without a queue or without an owner.
type orphaned struct {
	unrouted []UnroutedView
	unowned  []UnownedView
}

// orphanedBy returns what a configuration would leave without a queue or an owner; owners tells for the workspaces of jobs which one of
// the configuration takes each over.
func orphanedBy(l *ledger.Ledger, x *accepted.Index, owners map[string]string) orphaned {
	unrouted, unowned := make(map[accepted.Place]*UnroutedView), make(map[string]*UnownedView)
	for _, j := range l.Open() {
		if q := x.At(j.Place()); q == nil {
			v := unrouted[j.Place()]
			if v == nil {
				v = &UnroutedView{Host: j.Host, Prefix: j.Prefix, Queue: j.Queue}
				unrouted[j.Place()] = v
			}
			v.Jobs, v.Runs = v.Jobs+1, v.Runs+j.Live
		}
		if j.Workspace != "" && owners[j.Workspace] == "" {
			v := unowned[j.Workspace]
			if v == nil {
				v = &UnownedView{Workspace: j.Workspace}
				unowned[j.Workspace] = v
			}
			v.Jobs, v.Runs = v.Jobs+1, v.Runs+j.Live
		}
	}
	var s orphaned
	for _, v := range unrouted {
		s.unrouted = append(s.unrouted, *v)
	}
	for _, v := range unowned {
		s.unowned = append(s.unowned, *v)
	}
	slices.SortFunc(s.unrouted, func(a, b UnroutedView) int {
		return cmp.Or(cmp.Compare(a.Host, b.Host), cmp.Compare(a.Prefix, b.Prefix))
	})
	slices.SortFunc(s.unowned, func(a, b UnownedView) int { return cmp.Compare(a.Workspace, b.Workspace) })
	return s
}

// orphanedLocked returns what the configuration in force leaves without a queue or an owner.
func (s *session) orphanedLocked() orphaned {
	index := s.engine.ledger.Index()
	if index == nil {
		return orphaned{}
	}
	owners := make(map[string]string)
	for _, w := range index.Config().Workspaces {
		owners[w.Name] = w.Name
	}
	return orphanedBy(s.engine.ledger, index, owners)
}

// count returns the numbers of jobs without a queue and without an owner.
func (s *orphaned) count() (unrouted, unowned int) {
	for _, v := range s.unrouted {
		unrouted += v.Jobs
	}
	for _, v := range s.unowned {
		unowned += v.Jobs
	}
	return unrouted, unowned
}

// maxOrphanedLines bounds the log lines about one configuration; laburnumctl jobs status has the whole list.
const maxOrphanedLines = 20

// reportOrphanedLocked updates the metrics and, if a configuration has just come into force, logs what it leaves.
func (s *session) reportOrphanedLocked(log bool) {
	left := s.orphanedLocked()
	unrouted, unowned := left.count()
	s.orphanedAt = boottime.Now()
	s.stats.unroutedJobs.Update(float64(unrouted))
	s.stats.unownedJobs.Update(float64(unowned))
	s.hasOrphaned = unrouted+unowned > 0
	if !log || !s.hasOrphaned {
		return
	}
	version := s.engine.ledger.Index().Config().Version
	s.log.Warn("configuration leaves jobs without a queue or a workspace", "version", version, "without_queue", unrouted, "without_workspace", unowned)
	for i, v := range left.unrouted {
		if i == maxOrphanedLines {
			break
		}
		s.log.Warn("jobs have no queue: their tasks aren't started and callers can't reach them", "version", version, "host", v.Host, "prefix", v.Prefix,
			"queue_was", v.Queue, "jobs", v.Jobs, "runs", v.Runs)
	}
	for i, v := range left.unowned {
		if i == maxOrphanedLines {
			break
		}
		s.log.Warn("jobs have no workspace: they keep the limit that it had", "version", version, "team", v.Workspace, "jobs", v.Jobs, "runs", v.Runs)
	}
}

// orphanedInterval is the minimum time between counts of orphaned jobs under one configuration.
const orphanedInterval = time.Second

// updateOrphanedLocked updates the metrics when jobs have finished.
func (s *session) updateOrphanedLocked() {
	if s.hasOrphaned && boottime.Now()-s.orphanedAt >= orphanedInterval {
		s.reportOrphanedLocked(false)
	}
}

// configurationReplacedLocked reports on a configuration that has come into force, and lets the forecast learn anew if arrivals that it
// has learned count for another pool now.
func (s *session) configurationReplacedLocked() {
	index := s.engine.ledger.Index()
	if s.inForce != nil && s.inForce.Config().Version == index.Config().Version {
		return
	}
	if s.inForce != nil && movesQueues(s.inForce, index) {
		s.forecast, s.forecastReady = forecast.Forecast{}, false
	}
	s.inForce = index
	s.reportOrphanedLocked(true)
}

// movesQueues reports whether a queue has another pool in the next configuration, or a pool is added or removed.
func movesQueues(before, next *accepted.Index) bool {
	for i := range next.Config().Queues {
		q := &next.Config().Queues[i]
		if earlier := before.At(q.Place()); earlier != nil && earlier.Pool != q.Pool {
			return true
		}
	}
	for _, p := range next.Config().Pools {
		if before.Pool(p.Name) == nil {
			return true
		}
	}
	return len(before.Config().Pools) != len(next.Config().Pools)
}

// queueNameLocked returns the name of the queue at a place, or the place if the configuration has none there.
func (s *session) queueNameLocked(p accepted.Place) string {
	if index := s.engine.ledger.Index(); index != nil {
		if q := index.At(p); q != nil {
			return q.Name
		}
	}
	return p.Host + p.Prefix
}

// checkConfig answers what a configuration would leave without a queue or a workspace if it came into force now. Nothing changes.
func (s *session) checkConfig(c *Call) *Reply {
	if err := c.Config.Check(); err != nil {
		return &Reply{Outcome: Invalid, Reason: err.Error()}
	}
	s.engine.mu.Lock()
	defer s.engine.mu.Unlock()
	index := accepted.NewIndex(c.Config)
	left := orphanedBy(s.engine.ledger, index, s.engine.ledger.Successors(index))
	return &Reply{Outcome: OK, Status: &StatusView{Leader: s.holder.Name, Term: s.holder.Fence, Version: c.Config.Version, Unrouted: left.unrouted, Unowned: left.unowned}}
}
