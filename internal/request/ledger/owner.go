package ledger

import (
	"fmt"
	"maps"
	"slices"

	"laburnumrouter/internal/version/accepted"
)

// FormerWorkspace is a workspace that the configuration in force lacks and that owns unfinished jobs. They stay within the limit that it
// had last.
type FormerWorkspace struct {
	// Keys are the SHA-256 digests of the keys that it had. A later workspace with one of them takes its jobs over.
	Keys  [][]byte `json:",omitempty"`
	Limit Resources
}

// owners returns the workspaces of the configuration in force and the former ones.
func (l *Ledger) owners() []accepted.Owner {
	owners := l.Config.Owners()
	for _, name := range slices.Sorted(maps.Keys(l.FormerWorkspaces)) {
		owners = append(owners, accepted.Owner{Name: name, Keys: l.FormerWorkspaces[name].Keys})
	}
	return owners
}

// Successors returns, for the workspaces that own jobs, the name of the one that takes each over if a configuration comes into force.
// One without a successor is left out.
func (l *Ledger) Successors(next *accepted.Index) map[string]string {
	if l.index == nil {
		return nil
	}
	return next.Successors(l.owners())
}

// replaceWorkspaces hands the jobs of the workspaces in force over to their successors in a configuration that comes into force next.
// Those without one become former workspaces while they own unfinished jobs.
func (l *Ledger) replaceWorkspaces(next *accepted.Index) {
	if l.index == nil {
		return
	}
	owners := l.owners()
	successors := next.Successors(owners)
	owning := l.owningWorkspaces()
	former, renamed := make(map[string]FormerWorkspace), make(map[string]string)
	for _, o := range owners {
		successor := successors[o.Name]
		if successor == "" && owning[o.Name] {
			limit, _ := l.limitOf(o.Name)
			successor = l.formerName(o.Name, next)
			former[successor] = FormerWorkspace{Keys: o.Keys, Limit: limit}
		}
		if successor != "" && successor != o.Name {
			renamed[o.Name] = successor
		}
	}
	if l.FormerWorkspaces = former; len(former) == 0 {
		l.FormerWorkspaces = nil
	}
	l.renameWorkspaces(renamed)
}

// formerName returns a name for a workspace that ceases, which no workspace of the next configuration has.
func (l *Ledger) formerName(name string, next *accepted.Index) string {
	for next.Workspace(name) != nil {
		name = fmt.Sprintf("%s (version %d)", name, l.Config.Version)
	}
	return name
}

// owningWorkspaces returns the set of workspaces that own jobs which aren't finished or have live runs.
func (l *Ledger) owningWorkspaces() map[string]bool {
	owning := make(map[string]bool)
	for _, j := range l.open {
		owning[j.Workspace] = true
	}
	return owning
}

// renameWorkspaces replaces the owners of jobs.
func (l *Ledger) renameWorkspaces(renamed map[string]string) {
	if len(renamed) == 0 {
		return
	}
	for _, j := range l.Jobs {
		if name, ok := renamed[j.Workspace]; ok && j.Workspace != "" {
			j.Workspace = name
		}
	}
	l.reindex()
}
