package sheet

import (
	"fmt"
	"sort"
	"strings"

	laburnumv1 "laburnumrouter/proto/laburnum/v1"
)

// Action is the kind of change to a row.
type Action string

// Actions of a change.
const (
	Added   Action = "added"
	Changed Action = "changed"
	Removed Action = "removed"
)

// Change is one row that differs between two configurations.
type Change struct {
	Action Action `json:"action"`
	Kind   string `json:"kind"`
	Name   string `json:"name"`
	// Detail lists the fields that differ, as column old -> new; for an added row, all of its fields.
	Detail string `json:"detail"`
}

// Difference describes the effects of applying a sheet.
type Difference struct {
	From    uint64   `json:"from"` // number of the sheet in force
	To      uint64   `json:"to"`
	Changes []Change `json:"changes"`
	// Moves is the number of instances that pools gain, from other pools or as new instances.
	Moves uint32 `json:"moves"`
	// Waves names the maintenance plans that are added, changed or removed.
	Waves []string `json:"waves"`
	// Risks lists changes that may lower availability or take away capacity from a workspace.
	Risks []string `json:"risks"`
}

// Empty reports whether the two configurations have the same content, apart from their sheet numbers.
func (d *Difference) Empty() bool { return len(d.Changes) == 0 }

// Compare returns the changes from the configuration in force to next. available maps pools to the number of
// instances that serve now; it may be nil.
func Compare(inForce, next *laburnumv1.Configuration, available map[string]uint32) *Difference {
	d := &Difference{From: inForce.GetSheetNumber(), To: next.GetSheetNumber()}
	d.Changes = compareRows(rowsByName(inForce), rowsByName(next))
	for _, c := range d.Changes {
		if c.Kind == "maintenance" {
			d.Waves = append(d.Waves, fmt.Sprintf("%s %s", c.Name, c.Action))
		}
	}
	d.comparePools(inForce, next, available)
	d.compareWorkspaces(inForce, next)
	for _, moved := range MovedKeys(inForce, next) {
		d.addRisk("%s: such a sheet is refused", moved)
	}
	sort.Strings(d.Risks)
	return d
}

// MovedKeys returns a message for each key that belongs to a team of the configuration in force and to another one of the next, sorted.
func MovedKeys(inForce, next *laburnumv1.Configuration) []string {
	owner := make(map[string]string, len(inForce.GetKeys()))
	for _, k := range inForce.GetKeys() {
		owner[string(k.Sha256)] = k.Team
	}
	var moved []string
	for _, k := range next.GetKeys() {
		if team, known := owner[string(k.Sha256)]; known && team != k.Team {
			moved = append(moved, fmt.Sprintf("key %x belongs to team %s and passes to team %s", k.Sha256[:min(shownKeyBytes, len(k.Sha256))], team, k.Team))
		}
	}
	sort.Strings(moved)
	return moved
}

// shownKeyBytes is how much of a key's digest messages show.
const shownKeyBytes = 6

// OrphanedJobs returns a message for each team and pool that a configuration lacks and that has jobs which have not ended.
func OrphanedJobs(cfg *laburnumv1.Configuration, open []*laburnumv1.OpenJobs) []string {
	teams, pools := make(map[string]bool), make(map[string]bool)
	for _, t := range cfg.GetTeams() {
		teams[t.Name] = true
	}
	for _, p := range cfg.GetPools() {
		pools[p.Name] = true
	}
	var orphaned []string
	for _, o := range open {
		if !teams[o.Team] {
			orphaned = append(orphaned, fmt.Sprintf("team %s isn't in the sheet: %d of its jobs on pool %s have not ended, %d may be running; nobody can ask for them", o.Team, o.Jobs, o.Pool, o.Tasks))
		}
		if !pools[o.Pool] {
			orphaned = append(orphaned, fmt.Sprintf("pool %s isn't in the sheet: %d jobs of team %s on it have not ended, %d may be running", o.Pool, o.Jobs, o.Team, o.Tasks))
		}
	}
	return orphaned
}

// AddOrphanedJobs adds what the next configuration leaves without a team or a pool to the risks.
func (d *Difference) AddOrphanedJobs(next *laburnumv1.Configuration, open []*laburnumv1.OpenJobs) {
	d.Risks = append(d.Risks, OrphanedJobs(next, open)...)
	sort.Strings(d.Risks)
}

// rowID identifies a row by kind and name.
type rowID struct{ kind, name string }

func rowsByName(cfg *laburnumv1.Configuration) map[rowID]row {
	byName := make(map[rowID]row)
	for _, r := range rows(cfg) {
		if id := identify(r); id.kind != "sheet" {
			byName[id] = r
		}
	}
	return byName
}

func identify(r row) rowID {
	const shownDigits = 12
	switch r[kindColumn] {
	case "key":
		return rowID{"key", r["team"] + " " + r["sha256"][:min(shownDigits, len(r["sha256"]))]}
	case "share":
		return rowID{"share", r["team"] + " in " + r["pool"]}
	}
	return rowID{r[kindColumn], r["name"]}
}

func compareRows(old, next map[rowID]row) []Change {
	var changes []Change
	for id, r := range next {
		before, known := old[id]
		switch {
		case !known:
			changes = append(changes, Change{Added, id.kind, id.name, describe(r)})
		case describeDifference(before, r) != "":
			changes = append(changes, Change{Changed, id.kind, id.name, describeDifference(before, r)})
		}
	}
	for id := range old {
		if _, kept := next[id]; !kept {
			changes = append(changes, Change{Removed, id.kind, id.name, ""})
		}
	}
	sort.Slice(changes, func(i, j int) bool {
		a, b := changes[i], changes[j]
		return a.Kind < b.Kind || a.Kind == b.Kind && a.Name < b.Name
	})
	return changes
}

func describe(r row) string {
	var parts []string
	for _, column := range columnOrder {
		if v := r[column]; v != "" && column != kindColumn && column != "name" && column != "sha256" {
			parts = append(parts, column+" "+v)
		}
	}
	return strings.Join(parts, ", ")
}

func describeDifference(before, after row) string {
	var parts []string
	for _, column := range columnOrder {
		if before[column] != after[column] {
			parts = append(parts, fmt.Sprintf("%s %s -> %s", column, orNone(before[column]), orNone(after[column])))
		}
	}
	return strings.Join(parts, ", ")
}

func orNone(v string) string {
	if v == "" {
		return noValue
	}
	return v
}

func (d *Difference) comparePools(inForce, next *laburnumv1.Configuration, available map[string]uint32) {
	before := make(map[string]*laburnumv1.Pool, len(inForce.GetPools()))
	for _, p := range inForce.GetPools() {
		before[p.Name] = p
	}
	for _, p := range next.GetPools() {
		old := before[p.Name]
		delete(before, p.Name)
		if p.Instances > old.GetInstances() {
			d.Moves += p.Instances - old.GetInstances()
		}
		if serving, known := available[p.Name]; known && serving < p.MinAvailable {
			d.addRisk("pool %s: %d instances serve now, min_available becomes %d", p.Name, serving, p.MinAvailable)
		}
		if old != nil && old.Service != p.Service {
			d.addRisk("pool %s: its service changes, so all of its instances must be replaced", p.Name)
		}
	}
	for _, p := range before {
		if p.Instances > 0 {
			d.addRisk("pool %s is removed: its instances are drained", p.Name)
		}
	}
	sort.Strings(d.Risks)
}

func (d *Difference) compareWorkspaces(inForce, next *laburnumv1.Configuration) {
	limits := make(map[string]uint32, len(inForce.GetTeams()))
	for _, t := range inForce.GetTeams() {
		limits[t.Name] = t.Limit
	}
	for _, t := range next.GetTeams() {
		if before, known := limits[t.Name]; known && t.Limit < before {
			d.addRisk("workspace %s: limit %d -> %d; work that already runs above it is not stopped", t.Name, before, t.Limit)
		}
		delete(limits, t.Name)
	}
	for name := range limits {
		d.addRisk("workspace %s is removed: its keys stop working", name)
	}
	sort.Strings(d.Risks)
}

func (d *Difference) addRisk(format string, args ...any) {
	d.Risks = append(d.Risks, fmt.Sprintf(format, args...))
}
