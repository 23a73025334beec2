package accepted

import (
	"bytes"
	"crypto/sha256"
	"errors"
	"io"

	"github.com/restic/chunker"
)

// Parameters of the positions at which the stored form is cut. With others, a changed configuration shares no chunks with one that is
// already replicated.
const (
	minChunkBytes = 4 << 10
	maxChunkBytes = 64 << 10
	// chunkBits is the binary logarithm of the mean distance from the smallest size to a cut.
	chunkBits  = 12
	polynomial = chunker.Pol(0x3DA3358B4DC173)
)

// Parts holds the chunks of a configuration uncompressed.
type Parts struct {
	chunks map[Digest][]byte
}

// Split cuts the stored form of a configuration into chunks, at positions that depend on its content alone.
func (c *Config) Split() (*Manifest, *Parts, error) {
	stored, err := c.Encode()
	if err != nil {
		return nil, nil, err
	}
	sent := c.Digest()
	m := &Manifest{Version: c.Version, Sent: sent[:], SentBytes: len(c.Raw), Bytes: len(stored)}
	p := &Parts{chunks: make(map[Digest][]byte)}
	cuts := chunker.NewWithBoundaries(bytes.NewReader(stored), polynomial, minChunkBytes, maxChunkBytes)
	cuts.SetAverageBits(chunkBits)
	var buf []byte
	for {
		cut, err := cuts.Next(buf)
		if errors.Is(err, io.EOF) {
			return m, p, m.Check()
		}
		if err != nil {
			return nil, nil, Error.Wrap(err)
		}
		buf = cut.Data
		chunk := stored[cut.Start : cut.Start+cut.Length]
		digest := Digest(sha256.Sum256(chunk))
		p.chunks[digest] = chunk
		m.Chunks = append(m.Chunks, digest[:])
	}
}

// Chunk returns the chunk with a digest, compressed.
func (p *Parts) Chunk(digest []byte) (*Chunk, error) {
	if len(digest) != sha256.Size || p.chunks[Digest(digest)] == nil {
		return nil, Error.New("the configuration has no chunk %x", digest)
	}
	data, err := compress(p.chunks[Digest(digest)])
	return &Chunk{Digest: digest, Data: data}, err
}
