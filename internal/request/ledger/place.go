package ledger

import (
	"cmp"
	"slices"
	"strconv"
	"strings"

	"laburnumrouter/internal/version/accepted"
)

// JobRef names a job as its caller does: by the place of its queue and its ID, which is unique there.
type JobRef struct {
	Host, Prefix string
	ID           string
}

// Place returns the place of the job's queue.
func (r JobRef) Place() accepted.Place { return accepted.Place{Host: r.Host, Prefix: r.Prefix} }

// PlacedJobs lists jobs of a place by their keys.
type PlacedJobs struct {
	Host, Prefix string
	Keys         []string
}

// PlacesUpdate comes with a command that raises the format to FormatPlaces. Members then hold the same places: that of a job which
// isn't listed is the place of the queue that has its name.
type PlacesUpdate struct {
	// Version is that of the configuration by which the list was made. With another one in force the format stays as it is.
	Version int64
	Jobs    []PlacedJobs `json:",omitempty"`
}

// Place returns where the job was submitted; its Prefix is empty if that isn't known.
func (s *Submission) Place() accepted.Place {
	return accepted.Place{Host: s.Host, Prefix: s.Prefix}
}

// placeAt sets where the job was submitted. The texts are shared with the configuration.
func (s *Submission) placeAt(p accepted.Place) { s.Host, s.Prefix = p.Host, p.Prefix }

// keySeparator separates the ID of a job in its key from the number that tells it from a job of another place with the same ID. IDs
// have none.
const keySeparator = "/"

// OnServer returns the name of the task on backend servers, where jobs have their IDs. It may be another task's name, too (KeyOnServer).
func (t TaskID) OnServer() TaskID {
	t.Job, _, _ = strings.Cut(t.Job, keySeparator)
	return t
}

// KeyOnServer returns the task that a backend server reports by its name and the number of its run. If jobs of several places have the
// ID, that is the one with this run there; package schedule keeps them apart.
func (l *Ledger) KeyOnServer(server string, name TaskID, run int) TaskID {
	for _, key := range l.numbered[name.Job] {
		id := name
		id.Job = key
		if t := l.Jobs[key].task(id); t != nil && t.Phase == Live && t.Worker == server && t.Run == run {
			return id
		}
	}
	return name
}

// HasNamesakes reports whether any jobs of several places have one ID.
func (l *Ledger) HasNamesakes() bool { return len(l.numbered) > 0 }

// Key returns the key of the job in Ledger.Jobs and in TaskID: its ID, or its ID and a number if a job of another place has the ID.
func (j *Job) Key() string {
	if j.Number == 0 {
		return j.ID
	}
	return j.ID + keySeparator + strconv.Itoa(j.Number)
}

// freeNumber returns the smallest number for a job with an ID that no other job has. It depends on the present records only.
func (l *Ledger) freeNumber(id string) int {
	if l.Jobs[id] == nil {
		return 0
	}
	for n := 2; ; n++ {
		if l.Jobs[id+keySeparator+strconv.Itoa(n)] == nil {
			return n
		}
	}
}

// Namesakes returns the jobs with an ID, one for each place, the oldest record first.
func (l *Ledger) Namesakes(id string) []*Job {
	var list []*Job
	if j := l.Jobs[id]; j != nil {
		list = append(list, j)
	}
	for _, key := range l.numbered[id] {
		list = append(list, l.Jobs[key])
	}
	return list
}

func (l *Ledger) addNumbered(j *Job) {
	if j.Number > 0 {
		l.numbered[j.ID] = append(l.numbered[j.ID], j.Key())
		slices.SortFunc(l.numbered[j.ID], func(a, b string) int { return l.Jobs[a].Number - l.Jobs[b].Number })
	}
}

func (l *Ledger) dropNumbered(j *Job) {
	if j.Number == 0 {
		return
	}
	key := j.Key()
	if l.numbered[j.ID] = slices.DeleteFunc(l.numbered[j.ID], func(k string) bool { return k == key }); len(l.numbered[j.ID]) == 0 {
		delete(l.numbered, j.ID)
	}
}

// Clashes reports whether the tasks of a job with an ID have, or may get, their names on the backend servers of a pool.
func (l *Ledger) Clashes(id, pool string) bool {
	return slices.ContainsFunc(l.Namesakes(id), func(j *Job) bool { return l.namesIn(j, pool) })
}

// namesIn reports whether tasks of a job have, or may get, their names on the backend servers of a pool. They keep them for a while after
// the job's end.
func (l *Ledger) namesIn(j *Job, pool string) bool {
	if j.State.Final() && j.Runs == 0 {
		return false
	}
	q := l.QueueOf(j)
	return q != nil && q.Pool == pool || l.runsIn(j, pool)
}

// runsIn reports whether a job has a live run in a pool.
func (l *Ledger) runsIn(j *Job, pool string) bool {
	found := false
	l.eachLive(j, func(_ *Job, _ TaskID, t *Task) { found = found || l.Servers[t.Worker].Pool == pool })
	return found
}

// AwaitsNamesake reports whether no task of a job may start in a pool, because those of another job with its ID have their names there.
// Such a job isn't accepted, but a configuration can bring two queues into one pool later. The one that is at work there goes first, then
// the one that was accepted first.
func (l *Ledger) AwaitsNamesake(j *Job, pool string) bool {
	if !l.HasNamesakes() {
		return false
	}
	return slices.ContainsFunc(l.Namesakes(j.ID), func(other *Job) bool {
		if other == j || !l.namesIn(other, pool) {
			return false
		}
		if here, there := l.runsIn(j, pool), l.runsIn(other, pool); here != there {
			return there
		}
		return cmp.Or(cmp.Compare(other.AcceptedMS, j.AcceptedMS), cmp.Compare(other.Number, j.Number)) < 0
	})
}

// Find returns the job that was submitted with an ID at a place, or nil.
func (l *Ledger) Find(p accepted.Place, id string) *Job {
	for _, j := range l.Namesakes(id) {
		if l.submittedAt(j, p) {
			return j
		}
	}
	return nil
}

func (l *Ledger) submittedAt(j *Job, p accepted.Place) bool {
	switch {
	case j.Prefix != "":
		return j.Place() == p
	case j.Queue == "":
		return true // cancelled before its submission, and before FormatPlaces
	case l.Format < FormatPlaces && l.index != nil:
		q := l.index.Queue(j.Queue)
		return q != nil && q.Place() == p
	}
	return false
}

// QueueOf returns the queue that a job belongs to by the configuration in force, or nil if there is none: no task of it is started then.
func (l *Ledger) QueueOf(j *Job) *accepted.Queue { return l.queueAt(j.Place(), j.Queue) }

// queueAt returns the queue of the jobs that were submitted at a place, to a queue that had a name then. Before FormatPlaces it must have
// that name still, as members of earlier versions start tasks by the name.
func (l *Ledger) queueAt(p accepted.Place, name string) *accepted.Queue {
	if l.index == nil {
		return nil
	}
	if l.Format >= FormatPlaces {
		return l.index.At(p)
	}
	q := l.index.Queue(name)
	if q == nil || p.Prefix != "" && q.Place() != p {
		return nil
	}
	return q
}

// placeByName gives the jobs without a place that of the queue which has their queue's name. The log and the snapshots of earlier
// versions have no more than this name.
func (l *Ledger) placeByName() {
	if l.index == nil || l.placeless == 0 {
		return
	}
	changed := false
	for _, j := range l.Jobs {
		if j.Prefix != "" || j.Queue == "" {
			continue
		}
		if q := l.index.Queue(j.Queue); q != nil {
			j.placeAt(q.Place())
			changed = true
		}
	}
	if changed {
		l.reindex()
	}
}

// PlacesUpdate returns what members need to hold the places that this one does: those that the names of queues don't tell.
func (l *Ledger) PlacesUpdate() *PlacesUpdate {
	u := &PlacesUpdate{}
	if l.Config != nil {
		u.Version = l.Config.Version
	}
	byPlace := make(map[accepted.Place][]string)
	for key, j := range l.Jobs {
		if j.Prefix == "" {
			continue
		}
		var named *accepted.Queue
		if l.index != nil {
			named = l.index.Queue(j.Queue)
		}
		if named == nil || named.Place() != j.Place() {
			byPlace[j.Place()] = append(byPlace[j.Place()], key)
		}
	}
	for p, keys := range byPlace {
		slices.Sort(keys)
		u.Jobs = append(u.Jobs, PlacedJobs{Host: p.Host, Prefix: p.Prefix, Keys: keys})
	}
	return u
}

// mayRaise reports whether a command may raise the format beyond that without places.
func (l *Ledger) mayRaise(u *PlacesUpdate) bool {
	version := int64(0)
	if l.Config != nil {
		version = l.Config.Version
	}
	return u != nil && u.Version == version
}

// agreeOnPlaces gives all jobs the places that an update tells.
func (l *Ledger) agreeOnPlaces(u *PlacesUpdate) {
	for _, j := range l.Jobs {
		j.placeAt(accepted.Place{})
	}
	for _, listed := range u.Jobs {
		for _, key := range listed.Keys {
			if j := l.Jobs[key]; j != nil {
				j.placeAt(accepted.Place{Host: listed.Host, Prefix: listed.Prefix})
			}
		}
	}
	l.reindex()
	l.placeByName()
}
