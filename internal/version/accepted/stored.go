package accepted

import (
	"bytes"
	"encoding/json"
	"strconv"
)

// Encode returns the stored form of a configuration: the JSON of its decoded parts, a newline, the version, a newline, and the bytes as
// sent. The version, which each change changes, stands beside the beginning of these, which often has it too.
func (c *Config) Encode() ([]byte, error) {
	parts := *c
	parts.Version, parts.Raw = 0, nil
	data, err := json.Marshal(&parts)
	if err != nil {
		return nil, Error.Wrap(err)
	}
	data = append(strconv.AppendInt(append(data, '\n'), c.Version, 10), '\n')
	return append(data, c.Raw...), nil
}

// Decode returns the configuration with a stored form. It doesn't keep the stored form.
func Decode(stored []byte) (*Config, error) {
	data, rest, _ := bytes.Cut(stored, []byte("\n")) // JSON has newlines in texts escaped
	version, raw, found := bytes.Cut(rest, []byte("\n"))
	if !found {
		return nil, Error.New("the stored form has no bytes as sent")
	}
	c := &Config{}
	if err := json.Unmarshal(data, c); err != nil {
		return nil, Error.Wrap(err)
	}
	n, err := strconv.ParseInt(string(version), 10, 64)
	if err != nil {
		return nil, Error.Wrap(err)
	}
	c.Version, c.Raw = n, nil
	if len(raw) > 0 {
		c.Raw = bytes.Clone(raw)
	}
	return c, nil
}
