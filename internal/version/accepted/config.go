// Package accepted holds the configuration of the job programs, its queues, pools and workspaces, as an operator sent it,
// and looks up the queue of a request path and the workspace of a key. A configuration must not be modified once it is
// indexed.
package accepted

import (
	"bytes"
	"crypto/sha256"
	"strings"

	"github.com/zeebo/errs"
)

// Error is the class of errors in a configuration.
var Error = errs.Class("configuration")

// Config is a complete configuration and its version.
type Config struct {
	// Version increases with each change; the highest one is in force.
	Version    int64
	Queues     []Queue
	Pools      []Pool
	Workspaces []Workspace `json:"Teams"`
	Limits     Limits
	// Raw holds the bytes in which the configuration was sent, so that it can be read back exactly.
	Raw []byte
}

// Limits bounds the size of callers' requests; 0 selects the program's default.
type Limits struct {
	// HeaderBytes and BodyBytes are the maximum sizes of the header and the body of a request.
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
	// ObjectiveMS and SlackFactor give the latency objective of a job: ObjectiveMS plus SlackFactor times
	// the duration of its longest chain of dependent steps.
	ObjectiveMS int64
	SlackFactor float64
	// Priority orders queues; 0 is the highest.
	Priority int
	// MaxAttempts is the number of failed runs of a task after which its job fails.
	MaxAttempts int
	// Open is set if the queue accepts work without a key.
	Open bool
}

// Place is where callers reach a queue. Unlike its name, it can't pass from one queue to another without callers noticing: it is a part
// of the URLs of the queue's jobs. No two queues of a configuration share one.
type Place struct {
	// Host is in lower case.
	Host, Prefix string
}

// Place returns where callers reach the queue.
func (q *Queue) Place() Place { return Place{Host: strings.ToLower(q.Host), Prefix: q.Prefix} }

// Pool is a set of backend servers.
type Pool struct {
	Name string
	// Guards is set if the backend servers themselves reject work that exceeds their capacity.
	Guards bool
	// Standby marks the pool whose machines are powered off.
	Standby bool
	// ColdStartMS is how long a backend server is slow after its start, unless it reports this itself; 0 if it isn't.
	ColdStartMS int64 `json:",omitempty"`
	// ColdPerS is how many starts per second a server carries while it is slow; 0 if that isn't known.
	ColdPerS float64 `json:",omitempty"`
}

// Workspace is a customer with its keys, its weight and its resource limits.
type Workspace struct {
	Name string
	Keys []string
	// Weight is the workspace's relative share when the pools are full.
	Weight float64
	// CPU, MemMB and GPU limit what the workspace may use at a time: CPU in thousandths of a core, MemMB in MiB,
	// GPU in accelerators; 0 means no limit.
	CPU, MemMB, GPU int64
}

// Digest returns the SHA-256 of the bytes in which the configuration was sent.
func (c *Config) Digest() [sha256.Size]byte { return sha256.Sum256(c.Raw) }

// SameContent reports whether two configurations were sent as identical bytes.
func (c *Config) SameContent(other *Config) bool { return bytes.Equal(c.Raw, other.Raw) }

// Check validates the configuration and returns the first error found. Errors call pools services and queues routes, as
// the operator's JSON does.
func (c *Config) Check() error {
	pools := make(map[string]bool, len(c.Pools))
	for _, p := range c.Pools {
		if p.Name == "" || pools[p.Name] {
			return Error.New("service %q has no name or is listed twice", p.Name)
		}
		pools[p.Name] = true
	}
	queueAt := make(map[Place]string, len(c.Queues))
	for i := range c.Queues {
		q := &c.Queues[i]
		at := q.Place()
		switch {
		case !pools[q.Pool]:
			return Error.New("route %q names the unknown service %q", q.Name, q.Pool)
		case q.TimeoutMS <= 0:
			return Error.New("route %q has a timeout of %d ms", q.Name, q.TimeoutMS)
		case q.Host == "" || !strings.HasPrefix(q.Prefix, "/"):
			return Error.New("route %q has no host or its prefix does not begin with a slash", q.Name)
		case queueAt[at] != "":
			return Error.New("routes %q and %q share host and prefix", queueAt[at], q.Name)
		}
		// The space marks host and prefix as taken also if the queue has no name.
		queueAt[at] = q.Name + " "
	}
	return c.checkWorkspaces()
}

func (c *Config) checkWorkspaces() error {
	owner := make(map[string]string)
	names := make(map[string]bool, len(c.Workspaces))
	for _, t := range c.Workspaces {
		if t.Name == "" || names[t.Name] {
			return Error.New("workspace %q has no name or is listed twice", t.Name)
		}
		names[t.Name] = true
		for _, k := range t.Keys {
			if other, taken := owner[k]; taken && other != t.Name {
				return Error.New("workspaces %q and %q share a key", other, t.Name)
			}
			owner[k] = t.Name
		}
	}
	return nil
}

// Index looks up queues, pools, workspaces and keys of a configuration by name, place, path or digest.
type Index struct {
	config     *Config
	queues     map[string]*Queue
	at         map[Place]*Queue
	byHost     map[string][]*Queue
	pools      map[string]*Pool
	workspaces map[string]*Workspace
	keys       map[[sha256.Size]byte]*Workspace
}

// NewIndex builds the look-up tables of a configuration.
func NewIndex(c *Config) *Index {
	x := &Index{
		config: c,
		queues: make(map[string]*Queue), at: make(map[Place]*Queue), byHost: make(map[string][]*Queue),
		pools: make(map[string]*Pool), workspaces: make(map[string]*Workspace),
		keys: make(map[[sha256.Size]byte]*Workspace),
	}
	for i := range c.Queues {
		q := &c.Queues[i]
		place := q.Place()
		x.queues[q.Name], x.at[place] = q, q
		x.byHost[place.Host] = append(x.byHost[place.Host], q)
	}
	for i := range c.Pools {
		x.pools[c.Pools[i].Name] = &c.Pools[i]
	}
	for i := range c.Workspaces {
		t := &c.Workspaces[i]
		x.workspaces[t.Name] = t
		for _, k := range t.Keys {
			x.keys[sha256.Sum256([]byte(k))] = t
		}
	}
	return x
}

// Config returns the indexed configuration.
func (x *Index) Config() *Config { return x.config }

// Queue returns the queue with the given name, or nil. A configuration may give a name to several queues, and the next one may give it
// to another queue: what outlives a configuration refers to a queue by its place.
func (x *Index) Queue(name string) *Queue { return x.queues[name] }

// At returns the queue at a place, or nil.
func (x *Index) At(p Place) *Queue { return x.at[p] }

// Pool returns the pool with the given name, or nil.
func (x *Index) Pool(name string) *Pool { return x.pools[name] }

// Workspace returns the workspace with the given name, or nil.
func (x *Index) Workspace(name string) *Workspace { return x.workspaces[name] }

// Match returns the queue of host with the longest prefix of path, and the rest of path after that prefix. It
// returns nil if no queue matches.
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

// KeyOwner returns the workspace that owns a key, or nil. Keys are looked up by their SHA-256 digest, so that the
// duration of a look-up reveals nothing about the stored keys.
func (x *Index) KeyOwner(key string) *Workspace {
	if key == "" {
		return nil
	}
	return x.keys[sha256.Sum256([]byte(key))]
}
