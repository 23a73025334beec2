package accepted

import (
	"bytes"
	"compress/flate"
	"crypto/sha256"
	"io"
)

// Digest identifies a chunk: the SHA-256 of its uncompressed bytes.
type Digest [sha256.Size]byte

// Chunk is a part of the stored form of a configuration.
type Chunk struct {
	// Digest is 32 bytes long in a valid chunk.
	Digest []byte
	// Data holds the bytes of the chunk, compressed (RFC 1951).
	Data []byte
}

// maxDataBytes bounds the data of a chunk, which is larger than the chunk where it can't be compressed.
const maxDataBytes = maxChunkBytes + 1<<10

// Check validates a chunk: its data must decompress to the bytes that the digest identifies, at most maxChunkBytes of them.
func (c *Chunk) Check() error {
	_, err := decompress(c.Digest, c.Data)
	return err
}

// decompress returns the bytes of the chunk with a digest.
func decompress(digest, data []byte) ([]byte, error) {
	if len(digest) != sha256.Size || len(data) > maxDataBytes {
		return nil, Error.New("a chunk has a digest of %d bytes and %d bytes of data", len(digest), len(data))
	}
	chunk, err := io.ReadAll(io.LimitReader(flate.NewReader(bytes.NewReader(data)), maxChunkBytes+1))
	if err != nil {
		return nil, Error.Wrap(err)
	}
	if len(chunk) == 0 || len(chunk) > maxChunkBytes {
		return nil, Error.New("a chunk is empty or larger than %d bytes", maxChunkBytes)
	}
	if sum := sha256.Sum256(chunk); !bytes.Equal(sum[:], digest) {
		return nil, Error.New("the data of a chunk don't have its digest")
	}
	return chunk, nil
}

func compress(chunk []byte) ([]byte, error) {
	var data bytes.Buffer
	w, err := flate.NewWriter(&data, flate.DefaultCompression)
	if err != nil {
		return nil, Error.Wrap(err)
	}
	if _, err := w.Write(chunk); err != nil {
		return nil, Error.Wrap(err)
	}
	if err := w.Close(); err != nil {
		return nil, Error.Wrap(err)
	}
	return data.Bytes(), nil
}
