package ledger

import (
	"encoding/json"
	"math/rand/v2"
	"slices"
	"testing"

	"github.com/shoenig/test/must"

	"laburnumrouter/internal/version/accepted"
)

// chunkLedger returns a ledger whose format has chunks.
func chunkLedger() *Ledger {
	l := New()
	l.Apply(&Command{NowMS: 1000, Format: FormatConfigChunks})
	return l
}

// resent sets the encoding of a configuration as the bytes in which it was sent.
func resent(c *accepted.Config) *accepted.Config {
	c.Raw = nil
	c.Raw, _ = json.Marshal(c)
	return c
}

// transfer returns the manifest of a configuration, and those of its chunks that a ledger lacks.
func transfer(t *testing.T, l *Ledger, c *accepted.Config) (m *accepted.Manifest, missing []accepted.Chunk) {
	t.Helper()
	m, parts, err := c.Split()
	must.NoError(t, err)
	for _, digest := range l.MissingChunks(m) {
		chunk, err := parts.Chunk(digest)
		must.NoError(t, err)
		missing = append(missing, *chunk)
	}
	return m, missing
}

// put transfers a configuration.
func put(t *testing.T, l *Ledger, c *accepted.Config) *accepted.Manifest {
	t.Helper()
	m, chunks := transfer(t, l, c)
	must.EqOp(t, Accepted, l.Apply(&Command{Chunks: chunks, Manifest: m}).Config)
	return m
}

// decoded returns a command as other replicas read it.
func decoded(t *testing.T, c *Command) *Command {
	t.Helper()
	data, err := c.Encode()
	must.NoError(t, err)
	read := &Command{}
	must.NoError(t, json.Unmarshal(data, read))
	return read
}

// randomChunks returns chunks of a size that can't be compressed.
func randomChunks(t *testing.T, n, size int) (chunks []accepted.Chunk) {
	t.Helper()
	rng := rand.NewChaCha8([32]byte{1})
	for range n {
		c := &accepted.Config{Raw: make([]byte, size)}
		_, _ = rng.Read(c.Raw)
		_, missing := transfer(t, New(), c)
		chunks = append(chunks, missing...)
	}
	return chunks
}

// Guards against a configuration in force that isn't the one that was sent, or that a snapshot holds twice or not at all.
func TestChunkedConfigurationComesIntoForce(t *testing.T) {
	l, c := chunkLedger(), largeConfig(7, 1400)
	m, chunks := transfer(t, l, c)
	before := stateOf(t, l)
	r := l.Apply(&Command{Manifest: m})
	must.EqOp(t, Incomplete, r.Config)
	must.SliceLen(t, len(chunks), r.Missing)
	must.EqOp(t, before, stateOf(t, l), must.Sprint("nothing changes without the chunks"))
	for i := range chunks {
		l.Apply(decoded(t, &Command{Chunks: chunks[i : i+1]}))
	}
	must.EqOp(t, Accepted, l.Apply(decoded(t, &Command{Manifest: m})).Config)
	for range 2 {
		must.Eq(t, c, l.Config)
		must.NotNil(t, l.Index().Queue(c.Queues[1000].Name))
		must.SliceEmpty(t, l.Staged)
		must.StrNotContains(t, stateOf(t, l), `"Config"`)
		must.Less(t, l.ConfigBytes(), len(stateOf(t, l))-len(before))
		must.EqOp(t, l.ConfigBytes(), l.ManifestBytes(m))
		l = reload(t, l)
	}
}

// Guards against members of earlier versions, which ignore chunks, that hold another configuration than the others.
func TestChunksHaveNoEffectInEarlierFormats(t *testing.T) {
	l := New()
	l.Apply(&Command{NowMS: 1000, Format: FormatConfigChunks - 1})
	before := stateOf(t, l)
	m, chunks := transfer(t, l, largeConfig(7, 100))
	must.EqOp(t, Incomplete, l.Apply(&Command{Chunks: chunks, Manifest: m}).Config)
	must.EqOp(t, before, stateOf(t, l))
}

// Guards against a repeated or late manifest that is taken for incomplete, and against a malformed one that changes anything.
func TestVerdictsOnManifests(t *testing.T) {
	l, c := chunkLedger(), largeConfig(7, 300)
	put(t, l, c)
	changed := resent(largeConfig(7, 299))
	for name, one := range map[string]struct {
		config *accepted.Config
		want   Verdict
	}{"in force": {c, Accepted}, "overtaken": {largeConfig(6, 300), Superseded}, "other content": {changed, Conflict}} {
		m, _ := transfer(t, New(), one.config)
		before := stateOf(t, l)
		must.EqOp(t, one.want, l.Decided(m), must.Sprint(name))
		must.EqOp(t, one.want, l.Apply(&Command{Manifest: m}).Config, must.Sprint(name))
		must.EqOp(t, before, stateOf(t, l), must.Sprint(name))
	}
	m, _ := transfer(t, l, c)
	m.Version = 8 // the chunks make up version 7
	before := stateOf(t, l)
	for _, malformed := range []*accepted.Manifest{m, {Version: 8}, {Version: 8, Chunks: [][]byte{{1}}}} {
		_, _, err := l.Assemble(malformed)
		must.ErrorContains(t, err, "configuration")
		must.EqOp(t, Malformed, l.Apply(&Command{Manifest: malformed}).Config)
		must.EqOp(t, before, stateOf(t, l))
	}
}

// Guards against damaged chunks that are kept: a configuration could never be assembled from them.
func TestDamagedChunkIsNotStaged(t *testing.T) {
	l := chunkLedger()
	before := stateOf(t, l)
	chunk := randomChunks(t, 1, 1000)[0]
	damaged := accepted.Chunk{Digest: chunk.Digest, Data: slices.Clone(chunk.Data)}
	damaged.Data[500] ^= 1
	l.Apply(&Command{Chunks: []accepted.Chunk{damaged, {}, {Digest: chunk.Digest}, {Digest: chunk.Digest[:4], Data: chunk.Data}}})
	must.EqOp(t, before, stateOf(t, l))
	l.Apply(&Command{Chunks: []accepted.Chunk{chunk, chunk}})
	must.SliceLen(t, 1, l.Staged)
	data := `{"Jobs":{},"Servers":{},"Waves":{},"Sizes":{},"Orders":{},"Staged":[{"Digest":"AAAA","Data":"AAAA"}]}`
	must.ErrorContains(t, New().Restore([]byte(data)), "ledger")
	data = `{"Jobs":{},"Servers":{},"Waves":{},"Sizes":{},"Orders":{},"Manifest":{"Version":1},"Chunks":[{"Digest":"AAAA"}]}`
	must.ErrorContains(t, New().Restore([]byte(data)), "ledger")
}

// Guards against chunks that stay for ever, and against a slow transfer that loses its first chunks before its last ones arrive.
func TestUnusedChunksExpire(t *testing.T) {
	l := chunkLedger()
	c := largeConfig(1, 1400)
	put(t, l, c)
	other := largeConfig(2, 1000)
	for i := range other.Queues {
		other.Queues[i].TimeoutMS++
	}
	m, chunks := transfer(t, l, resent(other))
	now := l.ClockMS
	for i := range chunks {
		now += chunkRetentionMS / 4
		l.Apply(&Command{NowMS: now, Chunks: chunks[i : i+1]})
	}
	l.Apply(&Command{NowMS: now + chunkRetentionMS - 1})
	must.EqOp(t, Accepted, l.Apply(&Command{Manifest: m}).Config)

	// the chunks of version 1 are kept for a change of it, up to the same time
	c.Version = 3
	m, chunks = transfer(t, l, resent(c))
	must.Less(t, 6, len(chunks))
	l.Apply(&Command{NowMS: l.ClockMS + chunkRetentionMS - 1, Chunks: chunks})
	must.SliceNotEmpty(t, l.Former)
	l.Apply(&Command{NowMS: l.ClockMS + 1})
	must.SliceEmpty(t, l.Former)
	must.EqOp(t, Incomplete, l.Apply(&Command{Manifest: m}).Config)
	l.Apply(&Command{NowMS: l.ClockMS + chunkRetentionMS - 2})
	must.SliceNotEmpty(t, l.Staged)
	l.Apply(&Command{NowMS: l.ClockMS + 1})
	must.SliceEmpty(t, l.Staged)
	must.EqOp(t, 2, l.Config.Version)
	must.EqOp(t, 0, l.Bytes())
}

// Guards against chunks that take up the room of other records, and against a transfer that goes on without what was dropped.
func TestOldestChunksAreDropped(t *testing.T) {
	l, c := chunkLedger(), largeConfig(7, 300)
	m, first := transfer(t, l, c)
	l.Apply(&Command{Chunks: first})
	_, _, err := l.Assemble(m)
	must.NoError(t, err)
	others := randomChunks(t, 130, 50_000)
	for batch := range slices.Chunk(others, 16) {
		l.Apply(&Command{Chunks: batch})
		must.LessEq(t, MaxStagedBytes, l.Bytes())
	}
	must.Greater(t, MaxStagedBytes*99/100, l.Bytes())
	must.Eq(t, others[len(others)-1], l.Staged[len(l.Staged)-1].Chunk)
	must.SliceLen(t, len(first), l.MissingChunks(m))
	must.EqOp(t, Incomplete, l.Apply(&Command{Manifest: m}).Config)
	must.EqOp(t, Accepted, l.Apply(&Command{Chunks: first, Manifest: m}).Config)
	restored := reload(t, l)
	must.EqOp(t, l.Bytes(), restored.Bytes())
	must.EqOp(t, stateOf(t, l), stateOf(t, restored))
}

// Guards against configurations that come whole and leave chunks that no longer belong to the one in force.
func TestWholeConfigurationReplacesChunkedOne(t *testing.T) {
	l := chunkLedger()
	m := put(t, l, largeConfig(1, 300))
	must.EqOp(t, Accepted, l.Apply(&Command{Config: testConfig(2)}).Config)
	must.Eq(t, testConfig(2), reload(t, l).Config)
	must.Nil(t, l.Manifest)
	must.SliceEmpty(t, l.Chunks)
	must.SliceEmpty(t, l.MissingChunks(m), must.Sprint("the chunks stay for a change that is under way"))
	command, err := ConfigCommand(largeConfig(3, 300), NewestFormat)
	must.NoError(t, err)
	l.Apply(command)
	put(t, l, largeConfig(4, 300))
	must.StrNotContains(t, stateOf(t, l), "PackedConfig")
	must.Eq(t, largeConfig(4, 300), reload(t, l).Config)
	must.Nil(t, l.packed.bytes, must.Sprint("only one form is kept compressed"))
}

// Guards against a configuration that the leader puts in force alone, as it had assembled another one than the log brings.
func TestManifestBringsItsOwnConfiguration(t *testing.T) {
	for _, version := range []int64{1, 2} { // of the other one; two operators may use the same
		l := chunkLedger()
		next, chunks := transfer(t, l, largeConfig(1, 300))
		l.Apply(&Command{Chunks: chunks})
		other, chunks := transfer(t, l, largeConfig(version, 200))
		l.Apply(&Command{Chunks: chunks})
		_, _, err := l.Assemble(other)
		must.NoError(t, err)
		l.Apply(&Command{Manifest: next})
		must.Eq(t, largeConfig(1, 300), l.Config)
		must.Nil(t, l.assembled.config)
	}
}

// Guards against replicas that differ in their verdicts or their state: the one that assembled a configuration beforehand, those that
// restored a snapshot in between, and those that applied every entry.
func TestReplicasAgreeOnChunks(t *testing.T) {
	for seed := range uint64(4) {
		rng := rand.New(rand.NewPCG(seed, 1))
		leader, follower, restored := chunkLedger(), chunkLedger(), chunkLedger()
		version, queues := int64(0), []int{100, 200, 300, 301}
		var known []accepted.Chunk
		var earlier *accepted.Manifest
		apply := func(c *Command) {
			read := decoded(t, c)
			want := leader.Apply(c)
			must.Eq(t, want, follower.Apply(read), must.Sprint("seed ", seed))
			must.Eq(t, want, restored.Apply(decoded(t, c)), must.Sprint("seed ", seed))
			must.EqOp(t, stateOf(t, leader), stateOf(t, follower), must.Sprint("seed ", seed))
			must.EqOp(t, stateOf(t, leader), stateOf(t, restored), must.Sprint("seed ", seed))
		}
		for range 50 {
			command := &Command{NowMS: leader.ClockMS + rng.Int64N(20_000)}
			config := largeConfig(version+rng.Int64N(3), queues[rng.IntN(len(queues))])
			m, missing := transfer(t, leader, config)
			known = append(known, missing...)
			rng.Shuffle(len(missing), func(a, b int) { missing[a], missing[b] = missing[b], missing[a] })
			switch rng.IntN(6) {
			case 0:
				command.Config = config
			case 1:
				command.Chunks = missing[:rng.IntN(len(missing)+1)]
			case 2:
				command.Chunks = known[rng.IntN(len(known)+1):]
			case 3:
				command.Manifest = earlier
				_, _, _ = leader.Assemble(m)
			default:
				apply(&Command{Chunks: missing})
				_, _, _ = leader.Assemble(m)
				command.Manifest = m
			}
			earlier = m
			if rng.IntN(4) == 0 {
				restored = reload(t, restored)
			}
			if rng.IntN(8) == 0 {
				follower.Reindex() // as after an entry whose application was broken off
			}
			apply(command)
			must.MapLen(t, len(leader.Chunks)+len(leader.Staged)+len(leader.Former), leader.chunkData)
			must.GreaterEq(t, len(stateOf(t, leader)), leader.Bytes()+leader.ConfigBytes()+500)
			if leader.Config != nil {
				version = leader.Config.Version
			}
		}
		must.Greater(t, 5, version)
	}
}

// Guards against a log that grows by the whole configuration with each change of a route.
func TestChangeOfRouteIsSmallInLog(t *testing.T) {
	l, rng := chunkLedger(), rand.New(rand.NewPCG(1, 1))
	put(t, l, largeConfig(1, 1400))
	const changes = 50
	chunked := 0
	for i := range changes {
		c := *l.Config
		c.Version, c.Queues = int64(i+2), slices.Clone(c.Queues)
		c.Queues[rng.IntN(len(c.Queues))].TimeoutMS = int64(i + 1)
		resent(&c)
		m, chunks := transfer(t, l, &c)
		for _, command := range []*Command{{Chunks: chunks}, {NowMS: l.ClockMS + 1000, Manifest: m}} {
			data, err := command.Encode()
			must.NoError(t, err)
			chunked += len(data)
			l.Apply(command)
		}
		must.EqOp(t, c.Version, l.Config.Version)
	}
	must.Less(t, changes*len(encodeConfig(t, l.Config, FormatPackedConfig))/10, chunked)
}

// Guards against a stream of changes whose former chunks take up the room of other records, and against one that expires although it was
// staged again.
func TestFormerChunksAreBoundedAndRenewed(t *testing.T) {
	l, random := chunkLedger(), rand.NewChaCha8([32]byte{1})
	var before *accepted.Config
	for version := range int64(8) {
		c := &accepted.Config{Version: version + 1, Raw: make([]byte, 600_000)}
		_, _ = random.Read(c.Raw)
		put(t, l, c)
		must.LessEq(t, maxFormerBytes, l.Bytes())
		if version < 7 {
			before = c
		}
	}
	must.Greater(t, maxFormerBytes*9/10, l.Bytes())
	m, chunks := transfer(t, New(), before)
	must.SliceEmpty(t, l.MissingChunks(m), must.Sprint("the newest former chunks stay"))
	l.Apply(&Command{NowMS: l.ClockMS + chunkRetentionMS - 1, Chunks: chunks})
	l.Apply(&Command{NowMS: l.ClockMS + 1})
	must.SliceEmpty(t, l.Former)
	must.SliceEmpty(t, l.MissingChunks(m))
}
