// Package accepted holds the configuration of the job programs, its queues, pools and teams, as an operator sent it,
// and looks up the queue of a request path and the team of a key. A configuration must not be modified once it is
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
	Version int64
	Queues  []Queue
	Pools   []Pool
	Teams   []Team
	Limits  Limits
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

// Pool is a set of backend servers.
type Pool struct {
	Name string
	// Guards is set if the backend servers themselves reject work that exceeds their capacity.
	Guards bool
	// Standby marks the pool whose machines are powered off.
	Standby bool
}

// Team is a customer with its keys, its weight and its resource limits.
type Team struct {
	Name string
	Keys []string
	// Weight is the team's relative share when the pools are full.
	Weight float64
	// CPU, MemMB and GPU limit what the team may use at a time: CPU in thousandths of a core, MemMB in MiB,
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
	type hostPrefix struct{ host, prefix string }
	queueByHostPrefix := make(map[hostPrefix]string, len(c.Queues))
	for i := range c.Queues {
		q := &c.Queues[i]
		at := hostPrefix{strings.ToLower(q.Host), q.Prefix}
		switch {
		case !pools[q.Pool]:
			return Error.New("route %q names the unknown service %q", q.Name, q.Pool)
		case q.TimeoutMS <= 0:
			return Error.New("route %q has a timeout of %d ms", q.Name, q.TimeoutMS)
		case q.Host == "" || !strings.HasPrefix(q.Prefix, "/"):
			return Error.New("route %q has no host or its prefix does not begin with a slash", q.Name)
		case queueByHostPrefix[at] != "":
			return Error.New("routes %q and %q share host and prefix", queueByHostPrefix[at], q.Name)
		}
		// The space marks host and prefix as taken also if the queue has no name.
		queueByHostPrefix[at] = q.Name + " "
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

// Index looks up queues, pools, teams and keys of a configuration by name, host, path or digest.
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

// Config returns the indexed configuration.
func (x *Index) Config() *Config { return x.config }

// Queue returns the queue with the given name, or nil.
func (x *Index) Queue(name string) *Queue { return x.queues[name] }

// Pool returns the pool with the given name, or nil.
func (x *Index) Pool(name string) *Pool { return x.pools[name] }

// Team returns the team with the given name, or nil.
func (x *Index) Team(name string) *Team { return x.teams[name] }

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

// KeyOwner returns the team that owns a key, or nil. Keys are looked up by their SHA-256 digest, so that the
// duration of a look-up reveals nothing about the stored keys.
func (x *Index) KeyOwner(key string) *Team {
	if key == "" {
		return nil
	}
	return x.keys[sha256.Sum256([]byte(key))]
}
