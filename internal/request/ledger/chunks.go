package ledger

import (
	"bytes"
	"crypto/sha256"
	"encoding/base64"
	"slices"

	"laburnumrouter/internal/version/accepted"
)

// Bounds on chunks that aren't part of the configuration in force. Replicas must agree on them, so they belong to FormatConfigChunks.
const (
	// chunkRetentionMS is how long chunks are kept without use.
	chunkRetentionMS = 60_000
	// MaxStagedBytes and maxFormerBytes bound staged and former chunks, as ChunkBytes counts them; the oldest are dropped first.
	MaxStagedBytes = 8 << 20
	maxFormerBytes = 2 << 20
)

const (
	// chunkBytes is the approximate size of a chunk in a snapshot without its data, and digestBytes that of its entry in a manifest.
	chunkBytes  = 128
	digestBytes = 48
	// manifestBytes is the approximate size of a manifest without its digests.
	manifestBytes = 256
)

// chunkState holds the chunks of configurations. Each is in one of its lists only.
type chunkState struct {
	// Manifest describes the configuration in force if that came in chunks, and Chunks holds each of them once.
	Manifest *accepted.Manifest `json:",omitempty"`
	Chunks   []accepted.Chunk   `json:",omitempty"`
	// Staged holds chunks that no configuration uses yet, the one that was staged first at the front. They expire together, so that
	// a slow transfer doesn't lose its first chunks.
	Staged []agedChunk `json:",omitempty"`
	// Former holds chunks of earlier configurations, for changes of them that are under way, the oldest first. Each expires by itself.
	Former []agedChunk `json:",omitempty"`
}

// agedChunk is a chunk that expires.
type agedChunk struct {
	accepted.Chunk
	// AtMS is the ClockMS at which it was staged, or its configuration replaced.
	AtMS int64
}

// assembled is a configuration that the leader assembled to check it before it proposes its manifest. The replica that applies the
// manifest needn't assemble it again.
type assembled struct {
	manifest *accepted.Manifest
	config   *accepted.Config
	atMS     int64
}

// ChunkBytes returns the approximate size of a staged chunk in a snapshot.
func ChunkBytes(c *accepted.Chunk) int {
	return chunkBytes + base64.StdEncoding.EncodedLen(len(c.Data))
}

// ManifestBytes returns the approximate size of a configuration in a snapshot, without the chunks that the ledger lacks.
func (l *Ledger) ManifestBytes(m *accepted.Manifest) int {
	n := manifestBytes + digestBytes*len(m.Chunks)
	for _, digest := range m.Distinct() {
		n += ChunkBytes(&accepted.Chunk{Data: l.chunk(digest)})
	}
	return n
}

// MissingChunks returns the digests of the chunks of a manifest that the ledger lacks, each once.
func (l *Ledger) MissingChunks(m *accepted.Manifest) [][]byte { return m.Missing(l.chunk) }

// Assembler returns a function that assembles the configuration that a manifest describes, or the digests of the chunks that the ledger
// lacks. The function may be called while the ledger changes: the data of chunks are never modified.
func (l *Ledger) Assembler(m *accepted.Manifest) (assemble func() (*accepted.Config, error), missing [][]byte) {
	if missing = l.MissingChunks(m); len(missing) > 0 {
		return nil, missing
	}
	if kept := l.assembled; kept.config != nil && kept.manifest.Equal(m) {
		return func() (*accepted.Config, error) { return kept.config, nil }, nil
	}
	data := make(map[accepted.Digest][]byte, len(m.Chunks))
	for _, digest := range m.Chunks {
		data[accepted.Digest(digest)] = l.chunk(digest)
	}
	return func() (*accepted.Config, error) {
		c, _, err := m.Assemble(func(digest []byte) []byte { return data[accepted.Digest(digest)] })
		return c, err
	}, nil
}

// Keep keeps the configuration that an Assembler for the manifest returned, until a configuration is applied. The leader calls it before
// it proposes the manifest.
func (l *Ledger) Keep(m *accepted.Manifest, c *accepted.Config) {
	l.assembled = assembled{manifest: m, config: c, atMS: l.ClockMS}
}

// assemble returns the configuration that a manifest describes, or the digests of the chunks that the ledger lacks.
func (l *Ledger) assemble(m *accepted.Manifest) (c *accepted.Config, missing [][]byte, err error) {
	assemble, missing := l.Assembler(m)
	if len(missing) > 0 {
		return nil, missing, m.Check()
	}
	c, err = assemble()
	return c, nil, err
}

// chunk returns the data of a chunk, or nil if the ledger lacks it.
func (l *Ledger) chunk(digest []byte) []byte {
	if len(digest) != sha256.Size {
		return nil
	}
	return l.chunkData[accepted.Digest(digest)]
}

// Decided returns the verdict on a manifest whose version is in force or overtaken, and an empty one if the version is higher.
func (l *Ledger) Decided(m *accepted.Manifest) Verdict {
	if l.Config == nil || m.Version > l.Config.Version {
		return ""
	}
	return l.verdictOnVersion(m.Version, bytes.Equal(l.sentDigest(), m.Sent))
}

// sentDigest returns the SHA-256 of the bytes in which the configuration in force was sent.
func (l *Ledger) sentDigest() []byte {
	if l.Manifest != nil {
		return l.Manifest.Sent
	}
	sent := l.Config.Digest()
	return sent[:]
}

// applyManifest puts a configuration in force whose chunks the ledger has, as applyConfig does with a whole one.
func (l *Ledger) applyManifest(m *accepted.Manifest, r *Result) Verdict {
	defer func() { l.assembled = assembled{} }()
	if l.Format < FormatConfigChunks {
		return Incomplete
	}
	if decided := l.Decided(m); decided != "" {
		return decided
	}
	c, missing, err := l.assemble(m)
	if err != nil {
		return Malformed
	}
	if len(missing) > 0 {
		r.Missing = missing
		return Incomplete
	}
	l.putInForce(c, m, r)
	return Accepted
}

// stage keeps chunks for a manifest that follows. One that is damaged, or in force already, has no effect.
func (l *Ledger) stage(chunks []accepted.Chunk) {
	if l.Format < FormatConfigChunks || len(chunks) == 0 {
		return
	}
	for i := range chunks {
		if chunks[i].Check() == nil {
			l.stageOne(&chunks[i])
		}
	}
	l.boundChunks()
}

// stageOne appends a chunk to the staged ones, also if it is there or among the former ones already.
func (l *Ledger) stageOne(c *accepted.Chunk) {
	same := func(other agedChunk) bool { return bytes.Equal(other.Digest, c.Digest) }
	if l.chunk(c.Digest) != nil {
		if !slices.ContainsFunc(l.Staged, same) && !slices.ContainsFunc(l.Former, same) {
			return
		}
		l.Staged, l.Former = slices.DeleteFunc(l.Staged, same), slices.DeleteFunc(l.Former, same)
	}
	l.Staged = append(l.Staged, agedChunk{Chunk: *c, AtMS: l.ClockMS})
	l.chunkData[accepted.Digest(c.Digest)] = c.Data
}

// replaceChunks records the chunks of a configuration that comes into force; the manifest is nil if it came whole. Those that only the
// one before used become former ones.
func (l *Ledger) replaceChunks(m *accepted.Manifest) {
	var chunks []accepted.Chunk
	used := make(map[accepted.Digest]bool)
	if m != nil {
		for _, digest := range m.Distinct() {
			chunks = append(chunks, accepted.Chunk{Digest: digest, Data: l.chunk(digest)})
			used[accepted.Digest(digest)] = true
		}
	}
	inUse := func(c agedChunk) bool { return used[accepted.Digest(c.Digest)] }
	l.Staged, l.Former = slices.DeleteFunc(l.Staged, inUse), slices.DeleteFunc(l.Former, inUse)
	for _, c := range l.Chunks {
		if !used[accepted.Digest(c.Digest)] {
			l.Former = append(l.Former, agedChunk{Chunk: c, AtMS: l.ClockMS})
		}
	}
	l.Manifest, l.Chunks = m, chunks
	l.boundChunks()
}

// restoreChunks checks the chunks of a snapshot and assembles the configuration in force from them.
func (l *Ledger) restoreChunks() error {
	for _, c := range slices.Concat(l.Staged, l.Former) {
		if err := c.Check(); err != nil {
			return Error.Wrap(err)
		}
	}
	if l.Manifest == nil {
		l.Chunks = nil
		return nil
	}
	l.boundChunks()
	c, missing, err := l.Manifest.Assemble(l.chunk)
	if c == nil {
		return Error.New("the configuration of the snapshot lacks %d chunks: %v", len(missing), err)
	}
	l.Config = c
	return nil
}

// expireChunks drops the chunks that were kept for chunkRetentionMS without use.
func (l *Ledger) expireChunks() {
	expired := func(atMS int64) bool { return l.ClockMS-atMS >= chunkRetentionMS }
	if expired(l.assembled.atMS) {
		l.assembled = assembled{}
	}
	staged, former := len(l.Staged), len(l.Former)
	if staged > 0 && expired(l.Staged[staged-1].AtMS) {
		l.Staged = nil
	}
	l.Former = slices.DeleteFunc(l.Former, func(c agedChunk) bool { return expired(c.AtMS) })
	if len(l.Staged) < staged || len(l.Former) < former {
		l.boundChunks()
	}
}

// boundChunks drops the oldest chunks beyond the bounds, and rebuilds what is derived from the lists.
func (l *Ledger) boundChunks() {
	l.Staged, l.stagedBytes = newest(l.Staged, MaxStagedBytes)
	l.Former, l.formerBytes = newest(l.Former, maxFormerBytes)
	l.chunkData = make(map[accepted.Digest][]byte, len(l.Chunks)+len(l.Staged)+len(l.Former))
	l.chunksBytes = 0
	for i := range l.Chunks {
		l.chunksBytes += ChunkBytes(&l.Chunks[i])
		l.chunkData[accepted.Digest(l.Chunks[i].Digest)] = l.Chunks[i].Data
	}
	for _, c := range l.Staged {
		l.chunkData[accepted.Digest(c.Digest)] = c.Data
	}
	for _, c := range l.Former {
		l.chunkData[accepted.Digest(c.Digest)] = c.Data
	}
}

// newest returns the chunks at the end of a list that are within a bound, in a list of their own if others are dropped, and their size.
func newest(list []agedChunk, bound int) ([]agedChunk, int) {
	size := 0
	for i := len(list) - 1; i >= 0; i-- {
		next := size + ChunkBytes(&list[i].Chunk)
		if next > bound {
			return slices.Clone(list[i+1:]), size
		}
		size = next
	}
	return list, size
}
