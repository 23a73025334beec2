package settings

import (
	"os"
	"strings"
)

// Secret is a secret that is read from a file whose path is in the settings. It is never printed: every text form of it
// contains only the path.
type Secret struct {
	path  string
	value string
}

// NewSecret returns a secret with a value that does not come from a settings file, for tests and clients.
func NewSecret(value string) Secret { return Secret{value: value} }

// UnmarshalText sets the path of the file; Load reads it.
func (s *Secret) UnmarshalText(text []byte) error {
	s.path = string(text)
	return nil
}

// MarshalText returns the path of the file.
func (s Secret) MarshalText() ([]byte, error) { return []byte(s.path), nil }

// String returns the path of the file, not the secret.
func (s Secret) String() string { return "file " + s.path }

// GoString returns the same as String, so that %#v does not print the secret either.
func (s Secret) GoString() string { return s.String() }

// Load reads the file and reports a fault of key if that fails. An unset secret stays empty.
func (s *Secret) Load(f *Faults, key string) {
	if s.path == "" {
		return
	}
	data, err := os.ReadFile(s.path)
	if err != nil {
		f.Add(key, "%v", err)
		return
	}
	s.value = strings.TrimSpace(string(data))
	if s.value == "" {
		f.Add(key, "%s is empty", s.path)
	}
}

// Reveal returns the secret.
func (s Secret) Reveal() string { return s.value }
