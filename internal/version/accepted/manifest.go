package accepted

import (
	"bytes"
	"crypto/sha256"
	"slices"
)

// Manifest describes a configuration by its chunks.
type Manifest struct {
	Version int64
	// Sent is the SHA-256 of the bytes in which the configuration was sent, and SentBytes their number.
	Sent      []byte
	SentBytes int
	// Bytes is the size of the stored form.
	Bytes int
	// Chunks lists the digests of the chunks in order.
	Chunks [][]byte
}

const (
	// maxStoredBytes bounds the stored form of a configuration that is cut into chunks.
	maxStoredBytes = 64 << 20
	maxChunks      = maxStoredBytes/minChunkBytes + 1
)

// Check validates the sizes of a manifest. What it allows bounds the memory that Assemble takes.
func (m *Manifest) Check() error {
	n := len(m.Chunks)
	switch {
	case n == 0 || n > maxChunks:
		return Error.New("a manifest lists %d chunks", n)
	case m.Bytes <= (n-1)*minChunkBytes || m.Bytes > min(n*maxChunkBytes, maxStoredBytes):
		return Error.New("a manifest lists %d chunks for %d bytes", n, m.Bytes)
	case len(m.Sent) != sha256.Size || m.SentBytes < 0 || m.SentBytes >= m.Bytes:
		return Error.New("a manifest has a digest of %d bytes for %d bytes as sent", len(m.Sent), m.SentBytes)
	}
	for _, digest := range m.Chunks {
		if len(digest) != sha256.Size {
			return Error.New("a manifest lists a digest of %d bytes", len(digest))
		}
	}
	return nil
}

// Equal reports whether two manifests describe the same configuration.
func (m *Manifest) Equal(other *Manifest) bool {
	return m == other || m != nil && other != nil && m.Version == other.Version && bytes.Equal(m.Sent, other.Sent) &&
		m.SentBytes == other.SentBytes && m.Bytes == other.Bytes && slices.EqualFunc(m.Chunks, other.Chunks, bytes.Equal)
}

// Distinct returns the digests of the chunks, each once, in the order in which they first appear.
func (m *Manifest) Distinct() [][]byte {
	seen := make(map[string]bool, len(m.Chunks))
	var distinct [][]byte
	for _, digest := range m.Chunks {
		if !seen[string(digest)] {
			seen[string(digest)] = true
			distinct = append(distinct, digest)
		}
	}
	return distinct
}

// Missing returns the digests of the chunks for which lookup returns nil, each once.
func (m *Manifest) Missing(lookup func(digest []byte) []byte) [][]byte {
	return slices.DeleteFunc(m.Distinct(), func(digest []byte) bool { return lookup(digest) != nil })
}

// Assemble returns the configuration that the chunks of a manifest make up. lookup returns the data of a chunk, or nil if there is
// none; if one lacks, the result has the digests of all that do. Whatever the data are, it returns an error or the configuration that
// Split cut, if Check allows the manifest.
func (m *Manifest) Assemble(lookup func(digest []byte) []byte) (c *Config, missing [][]byte, err error) {
	if err := m.Check(); err != nil {
		return nil, nil, err
	}
	if missing := m.Missing(lookup); len(missing) > 0 {
		return nil, missing, nil
	}
	stored := make([]byte, 0, m.Bytes)
	for _, digest := range m.Chunks {
		chunk, err := decompress(digest, lookup(digest))
		if err != nil {
			return nil, nil, err
		}
		if len(stored)+len(chunk) > m.Bytes {
			return nil, nil, Error.New("the chunks of a manifest have more than %d bytes", m.Bytes)
		}
		stored = append(stored, chunk...)
	}
	c, err = m.decode(stored)
	return c, nil, err
}

func (m *Manifest) decode(stored []byte) (*Config, error) {
	if len(stored) != m.Bytes {
		return nil, Error.New("the chunks of a manifest have %d bytes instead of %d", len(stored), m.Bytes)
	}
	c, err := Decode(stored)
	if err != nil {
		return nil, err
	}
	if sum := c.Digest(); c.Version != m.Version || len(c.Raw) != m.SentBytes || !bytes.Equal(sum[:], m.Sent) {
		return nil, Error.New("the chunks of the manifest of version %d make up another configuration", m.Version)
	}
	return c, nil
}
