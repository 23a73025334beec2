package accepted

import (
	"bytes"
	"compress/gzip"
	"encoding/json"
	"io"
)

// Pack encodes a configuration and compresses it: its bytes as sent and its decoded parts have much in common, as have its queues.
func (c *Config) Pack() ([]byte, error) {
	var packed bytes.Buffer
	w, err := gzip.NewWriterLevel(&packed, gzip.BestSpeed)
	if err != nil {
		return nil, Error.Wrap(err)
	}
	if err := json.NewEncoder(w).Encode(c); err != nil {
		return nil, Error.Wrap(err)
	}
	if err := w.Close(); err != nil {
		return nil, Error.Wrap(err)
	}
	return packed.Bytes(), nil
}

// Unpack decodes what Pack has encoded.
func Unpack(packed []byte) (*Config, error) {
	r, err := gzip.NewReader(bytes.NewReader(packed))
	if err != nil {
		return nil, Error.Wrap(err)
	}
	c := &Config{}
	if err := json.NewDecoder(r).Decode(c); err != nil {
		return nil, Error.Wrap(err)
	}
	if _, err := io.Copy(io.Discard, r); err != nil { // reads and checks the checksum at the end
		return nil, Error.Wrap(err)
	}
	return c, nil
}
