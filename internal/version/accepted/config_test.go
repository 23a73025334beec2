package accepted

import (
	"testing"

	"github.com/shoenig/test/must"
)

func valid() *Config {
	return &Config{
		Version: 1,
		Queues: []Queue{
			{Name: "short", Host: "a.example", Prefix: "/x/", Pool: "p", TimeoutMS: 1000},
			{Name: "long", Host: "A.example", Prefix: "/x/y/", Pool: "p", TimeoutMS: 1000},
		},
		Pools:      []Pool{{Name: "p"}},
		Workspaces: []Workspace{{Name: "t1", Keys: []string{"k1", "k2"}}, {Name: "t2", Keys: []string{"k3"}}},
	}
}

func TestCheck(t *testing.T) {
	must.NoError(t, valid().Check())
	cases := map[string]func(*Config){
		"unknown service":        func(c *Config) { c.Queues[0].Pool = "q" },
		"no timeout":             func(c *Config) { c.Queues[0].TimeoutMS = 0 },
		"same host and prefix":   func(c *Config) { c.Queues[1].Prefix = "/x/" },
		"prefix without a slash": func(c *Config) { c.Queues[0].Prefix = "x" },
		"key of two workspaces":  func(c *Config) { c.Workspaces[1].Keys = []string{"k2"} },
		"workspace listed twice": func(c *Config) { c.Workspaces[1].Name = "t1" },
		"service listed twice":   func(c *Config) { c.Pools = append(c.Pools, Pool{Name: "p"}) },
	}
	for name, invalidate := range cases {
		t.Run(name, func(t *testing.T) {
			c := valid()
			invalidate(c)
			must.ErrorContains(t, c.Check(), "configuration")
		})
	}
}

func TestMatch(t *testing.T) {
	x := NewIndex(valid())
	cases := []struct{ host, path, queue, rest string }{
		{"a.example", "/x/1", "short", "1"},
		{"A.EXAMPLE", "/x/y/1", "long", "1"},
		{"a.example", "/x/", "short", ""},
		{"a.example", "/z/1", "", ""},
		{"b.example", "/x/1", "", ""},
	}
	for _, c := range cases {
		q, rest := x.Match(c.host, c.path)
		if c.queue == "" {
			must.Nil(t, q)
			continue
		}
		must.EqOp(t, c.queue, q.Name)
		must.EqOp(t, c.rest, rest)
	}
}

func TestKeyOwner(t *testing.T) {
	x := NewIndex(valid())
	must.EqOp(t, "t1", x.KeyOwner("k2").Name)
	must.Nil(t, x.KeyOwner("k4"))
	must.Nil(t, x.KeyOwner(""))
}
