package accepted

import "crypto/sha256"

// Digest identifies a chunk: the SHA-256 of its uncompressed bytes.
type Digest [sha256.Size]byte

// Chunk is a part of the stored form of a configuration.
type Chunk struct {
	// Digest is 32 bytes long in a valid chunk.
	Digest []byte
	// Data holds the bytes of the chunk, compressed.
	Data []byte
}

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
