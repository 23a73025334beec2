package operators

import (
	"compress/gzip"
	"io"

	"connectrpc.com/connect"
)

// errCompressed refuses a compressed request.
var errCompressed = Error.New("compressed requests are not supported")

// PlainRequests returns a handler option that compresses responses only. A small compressed request may be larger than the process's
// memory once it is decompressed.
func PlainRequests() connect.HandlerOption {
	return connect.WithCompression("gzip",
		func() connect.Decompressor { return refuser{} },
		func() connect.Compressor { return gzip.NewWriter(io.Discard) })
}

// refuser is a connect.Decompressor that refuses everything.
type refuser struct{}

// Read implements io.Reader.
func (refuser) Read([]byte) (int, error) { return 0, errCompressed }

// Reset implements connect.Decompressor.
func (refuser) Reset(io.Reader) error { return errCompressed }

// Close implements io.Closer.
func (refuser) Close() error { return nil }
