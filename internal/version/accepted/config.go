// Package accepted holds one configuration of queues, pools and teams as an operator sent it, and answers
// which queue a path names and which team a key belongs to. It is immutable once built.
package accepted

import (
	"bytes"
	"crypto/sha256"
	"strings"

	"github.com/zeebo/errs"
)

// Error is the class of faults of a configuration.
var Error = errs.Class("configuration")

// Config is a whole configuration under its version.
type Config struct {
	// Version grows with each change; the highest one is in force.
	Version int64
	Queues  []Queue
	Pools   []Pool
	Teams   []Team
	Limits  Limits
	// Raw is the configuration in the bytes in which it was sent, for an exact read-back.
	Raw []byte
}

// Limits bounds callers' requests; 0 stands for the program's own bound.
type Limits struct {
	// HeaderBytes and BodyBytes are the most that the header and the body of a request may have.
	HeaderBytes int64 `json:",omitempty"`
	BodyBytes   int64 `json:",omitempty"`
}

// Queue takes jobs under a host and a path prefix and runs their tasks in a pool.
type Queue struct {
	Name   string
	Host   string
	Prefix string
	Pool   string
	// TimeoutMS is how long a caller's request may take.
	TimeoutMS int64
	// ObjectiveMS is added to SlackFactor times a job's longest chain of work to give its objective.
	ObjectiveMS int64
	SlackFactor float64
	// Priority 0 comes first.
	Priority int
	// MaxAttempts is the number of runs of a task that may end failed.
	MaxAttempts int
	// Open queues take work without a key.
	Open bool
}

// Pool is a set of backend servers.
type Pool struct {
	Name string
	// Guards is set where backend servers reject by themselves what does not fit.
	Guards bool
	// Standby marks the pool whose machines are off.
	Standby bool
}

// Team owns keys, a share and an upper limit.
type Team struct {
	Name string
	Keys []string
	// Weight is the share of the team when everything is full.
	Weight float64
	// CPU is in thousandths of a core, MemMB in MiB; 0 means no limit.
	CPU, MemMB, GPU int64
}

// Digest identifies the content of a configuration.
func (c *Config) Digest() [sha256.Size]byte { return sha256.Sum256(c.Raw) }

// SameContent reports whether two configurations were sent in the same bytes.
func (c *Config) SameContent(other *Config) bool { return bytes.Equal(c.Raw, other.Raw) }

// Check returns the first fault of a configuration.
func (c *Config) Check() error {
	pools := make(map[string]bool, len(c.Pools))
	for _, p := range c.Pools {
		if p.Name == "" || pools[p.Name] {
			return Error.New("service %q has no name or is listed twice", p.Name)
		}
		pools[p.Name] = true
	}
	type place struct{ host, prefix string }
	places := make(map[place]string, len(c.Queues))
	for i := range c.Queues {
		q := &c.Queues[i]
		at := place{strings.ToLower(q.Host), q.Prefix}
		switch {
		case !pools[q.Pool]:
			return Error.New("route %q names the unknown service %q", q.Name, q.Pool)
		case q.TimeoutMS <= 0:
			return Error.New("route %q has a timeout of %d ms", q.Name, q.TimeoutMS)
		case q.Host == "" || !strings.HasPrefix(q.Prefix, "/"):
			return Error.New("route %q has no host or its prefix does not begin with a slash", q.Name)
		case places[at] != "":
			return Error.New("routes %q and %q share host and prefix", places[at], q.Name)
		}
		places[at] = q.Name + " "
	}
	return c.checkTeams()
}

func (c *Config) checkTeams() error {
	owner := make(map[string]string)
	names := make(map[string]bool, len(c.Teams))
	for _, t := range c.Teams {
		if t.Name == "" || names[t.Name] {
			return Error.New("team %q has no name or is listed twice", t.Name)
		}
		names[t.Name] = true
		for _, k := range t.Keys {
			if other, taken := owner[k]; taken && other != t.Name {
				return Error.New("teams %q and %q share a key", other, t.Name)
			}
			owner[k] = t.Name
		}
	}
	return nil
}

// Index answers look-ups in a configuration.
type Index struct {
	config *Config
	queues map[string]*Queue
	byHost map[string][]*Queue
	pools  map[string]*Pool
	teams  map[string]*Team
	keys   map[[sha256.Size]byte]*Team
}

// NewIndex builds the look-up tables of a configuration.
func NewIndex(c *Config) *Index {
	x := &Index{
		config: c,
		queues: make(map[string]*Queue), byHost: make(map[string][]*Queue),
		pools: make(map[string]*Pool), teams: make(map[string]*Team),
		keys: make(map[[sha256.Size]byte]*Team),
	}
	for i := range c.Queues {
		q := &c.Queues[i]
		x.queues[q.Name] = q
		host := strings.ToLower(q.Host)
		x.byHost[host] = append(x.byHost[host], q)
	}
	for i := range c.Pools {
		x.pools[c.Pools[i].Name] = &c.Pools[i]
	}
	for i := range c.Teams {
		t := &c.Teams[i]
		x.teams[t.Name] = t
		for _, k := range t.Keys {
			x.keys[sha256.Sum256([]byte(k))] = t
		}
	}
	return x
}

// Config returns the configuration that is indexed.
func (x *Index) Config() *Config { return x.config }

// Queue returns the queue of a name, or nil.
func (x *Index) Queue(name string) *Queue { return x.queues[name] }

// Pool returns the pool of a name, or nil.
func (x *Index) Pool(name string) *Pool { return x.pools[name] }

// Team returns the team of a name, or nil.
func (x *Index) Team(name string) *Team { return x.teams[name] }

// Match returns the queue with the longest prefix of path under host, and what follows the prefix.
func (x *Index) Match(host, path string) (q *Queue, rest string) {
	for _, candidate := range x.byHost[strings.ToLower(host)] {
		if strings.HasPrefix(path, candidate.Prefix) && (q == nil || len(candidate.Prefix) > len(q.Prefix)) {
			q = candidate
		}
	}
	if q == nil {
		return nil, ""
	}
	return q, path[len(q.Prefix):]
}

// KeyOwner returns the team that holds a key, or nil. Keys are looked up by digest, so that the time taken
// tells nothing about them.
func (x *Index) KeyOwner(key string) *Team {
	if key == "" {
		return nil
	}
	return x.keys[sha256.Sum256([]byte(key))]
}
