package accepted

import (
	"bytes"
	"crypto/sha256"
	"encoding/json"
	"fmt"
	"math/rand/v2"
	"slices"
	"testing"

	"github.com/shoenig/test/must"
)

// routes returns a configuration with a number of routes, in JSON.
func routes(n int) *Config {
	c, rng := valid(), rand.New(rand.NewPCG(1, 2))
	for i := range n {
		c.Queues = append(c.Queues, Queue{Name: fmt.Sprintf("r-%d", i), Host: "h.example", Prefix: fmt.Sprintf("/%016x/", rng.Uint64()), Pool: "p", TimeoutMS: 2500, SlackFactor: 1.5, MaxAttempts: 3})
	}
	return sent(c)
}

func sent(c *Config) *Config {
	c.Raw = nil
	c.Raw, _ = json.MarshalIndent(c, "", " ")
	return c
}

func split(t *testing.T, c *Config) (*Manifest, map[string][]byte) {
	t.Helper()
	m, p, err := c.Split()
	must.NoError(t, err)
	data := make(map[string][]byte)
	for _, digest := range m.Chunks {
		chunk, err := p.Chunk(digest)
		must.NoError(t, err)
		must.NoError(t, chunk.Check())
		data[string(digest)] = chunk.Data
	}
	return m, data
}

func in(data map[string][]byte) func([]byte) []byte {
	return func(digest []byte) []byte { return data[string(digest)] }
}

// Guards against a configuration that changes on its way, or that is cut in another way by another machine or release.
func TestSplitConfigurationIsAssembled(t *testing.T) {
	for _, n := range []int{0, 1, 300, 4000} {
		c := routes(n)
		c.Workspaces[0].Name = "\n<\"ä\u2028>"
		c.Raw = append(c.Raw, "\n\x00\xff\n"...)
		m, data := split(t, c)
		got, missing, err := m.Assemble(in(data))
		must.NoError(t, err)
		must.SliceEmpty(t, missing)
		must.Eq(t, c, got)
	}
	m, _ := split(t, routes(4000))
	sum := sha256.Sum256(bytes.Join(m.Chunks, nil))
	must.EqOp(t, "152 chunks, d9bc4a5bd63ac681", fmt.Sprintf("%d chunks, %x", len(m.Chunks), sum[:8]))
}

// Guards against a change of one route that moves much of the configuration.
func TestChangedRouteChangesFewChunks(t *testing.T) {
	_, before := split(t, routes(4000))
	for name, change := range map[string]func(c *Config){
		"changed": func(c *Config) { c.Queues[2000].TimeoutMS = 1 },
		"added":   func(c *Config) { c.Queues = slices.Insert(c.Queues, 1000, Queue{Name: "new", Host: "n.example"}) },
		"removed": func(c *Config) { c.Queues = slices.Delete(c.Queues, 3000, 3001) },
	} {
		t.Run(name, func(t *testing.T) {
			c := routes(4000)
			c.Version++
			change(c)
			m, _ := split(t, sent(c))
			// those of the version and of the route, decoded and as sent, and one more where a cut moved
			must.LessEq(t, 5, len(m.Missing(in(before))))
			must.Greater(t, 50, len(m.Chunks))
		})
	}
}

// Guards against replicas that stop, allocate without bound, or put another configuration in force at a damaged or hostile manifest
// or chunk.
func TestMalformedManifestIsRefused(t *testing.T) {
	zeros, err := compress(make([]byte, maxChunkBytes))
	must.NoError(t, err)
	bomb, err := compress(make([]byte, 64<<20))
	must.NoError(t, err)
	of := func(data []byte, n int) *Chunk {
		sum := sha256.Sum256(make([]byte, n))
		return &Chunk{Digest: sum[:], Data: data}
	}
	must.NoError(t, of(zeros, maxChunkBytes).Check())
	for name, c := range map[string]*Chunk{
		"empty": {}, "no data": of(nil, 0), "bomb": of(bomb, 64<<20), "other digest": of(zeros, 1), "cut off": of(zeros[:len(zeros)-4], maxChunkBytes),
		"large": of(make([]byte, maxDataBytes+1), 1), "short digest": {Digest: []byte{1}, Data: zeros},
	} {
		must.ErrorContains(t, c.Check(), "configuration", must.Sprint(name))
	}
	for name, damage := range map[string]func(m *Manifest){
		"no chunks":           func(m *Manifest) { m.Chunks = nil },
		"chunks without size": func(m *Manifest) { m.Chunks = make([][]byte, maxChunks+1) },
		"negative size":       func(m *Manifest) { m.Bytes = -1 },
		"small size":          func(m *Manifest) { m.Bytes = minChunkBytes },
		"large size":          func(m *Manifest) { m.Bytes = maxStoredBytes + 1 },
		"size less than sent": func(m *Manifest) { m.SentBytes = m.Bytes },
		"negative sent":       func(m *Manifest) { m.SentBytes = -1 },
		"short digest":        func(m *Manifest) { m.Chunks[1] = m.Chunks[1][:31] },
		"empty digest":        func(m *Manifest) { m.Chunks[0] = nil },
		"other size":          func(m *Manifest) { m.Bytes-- },
		"larger size":         func(m *Manifest) { m.Bytes++ },
		"other version":       func(m *Manifest) { m.Version++ },
		"other content":       func(m *Manifest) { m.Sent = m.Chunks[0] },
		"other length":        func(m *Manifest) { m.SentBytes-- },
		"other order":         func(m *Manifest) { m.Chunks[0], m.Chunks[1] = m.Chunks[1], m.Chunks[0] },
		"one chunk twice":     func(m *Manifest) { m.Chunks = append(m.Chunks, m.Chunks[0]) },
	} {
		m, data := split(t, routes(300))
		damage(m)
		c, _, err := m.Assemble(in(data))
		must.Nil(t, c)
		must.ErrorContains(t, err, "configuration", must.Sprint(name))
	}
	for _, stored := range []string{"", "{}", "{}\n1", "{}\nx\n", "null\n\n", "[]\n1\n", "{}{}\n1\n", "\n1\n"} {
		_, err := Decode([]byte(stored))
		must.ErrorContains(t, err, "configuration", must.Sprint(stored))
	}
}
