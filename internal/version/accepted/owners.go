package accepted

import (
	"cmp"
	"crypto/sha256"
	"slices"
)

// KeyDigests returns the SHA-256 digests of the workspace's keys.
func (w *Workspace) KeyDigests() [][]byte {
	digests := make([][]byte, len(w.Keys))
	for i, key := range w.Keys {
		sum := sha256.Sum256([]byte(key))
		digests[i] = sum[:]
	}
	return digests
}

// KeyHolder returns the workspace that has the key with a digest, or nil.
func (x *Index) KeyHolder(digest []byte) *Workspace {
	if len(digest) != sha256.Size {
		return nil
	}
	return x.keys[[sha256.Size]byte(digest)]
}

// Owner is a workspace of an earlier configuration.
type Owner struct {
	Name string
	// Keys are the SHA-256 digests of its keys.
	Keys [][]byte
}

// Successors returns, for each of the owners, the name of the workspace of the index that takes its place; owners without one are left
// out. Keys go before names, as a key is what callers hold: a workspace goes on under its name if that still has one of its keys, else
// where most of its keys are. If none of its keys is left, it goes on under its name, unless that is another owner's now.
func (x *Index) Successors(owners []Owner) map[string]string {
	successors, taken := make(map[string]string, len(owners)), make(map[string]bool, len(owners))
	for _, o := range owners {
		if name := x.byKeys(o); name != "" {
			successors[o.Name], taken[name] = name, true
		}
	}
	for _, o := range owners {
		if successors[o.Name] == "" && x.workspaces[o.Name] != nil && !taken[o.Name] {
			successors[o.Name] = o.Name
		}
	}
	return successors
}

// byKeys returns the name of the workspace that has keys of an owner, or "".
func (x *Index) byKeys(o Owner) string {
	held := make(map[string]int)
	for _, digest := range o.Keys {
		if w := x.KeyHolder(digest); w != nil {
			held[w.Name]++
		}
	}
	if held[o.Name] > 0 {
		return o.Name
	}
	best := ""
	for name, n := range held {
		if best == "" || cmp.Or(cmp.Compare(held[best], n), cmp.Compare(name, best)) < 0 {
			best = name
		}
	}
	return best
}

// Owners returns the workspaces of the configuration, by name.
func (c *Config) Owners() []Owner {
	owners := make([]Owner, len(c.Workspaces))
	for i := range c.Workspaces {
		owners[i] = Owner{Name: c.Workspaces[i].Name, Keys: c.Workspaces[i].KeyDigests()}
	}
	slices.SortFunc(owners, func(a, b Owner) int { return cmp.Compare(a.Name, b.Name) })
	return owners
}
