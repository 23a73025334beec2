package jobcontrol

import (
	"crypto/rand"
	"encoding/hex"
	"errors"
	"io/fs"
	"os"
	"path/filepath"
	"slices"
	"strings"

	"github.com/zeebo/errs"
)

// Error is the class of all errors of this package.
var Error = errs.Class("job control")

// identityFile is the file in the data folder that holds the instance's member name.
const identityFile = "member"

// nameSeparator separates the address from the random suffix in a member's name.
const nameSeparator = "/"

// loadOrCreateIdentity returns the member name stored in the data folder, and whether the member is a founder, one of the
// first voters of the log. In an empty folder it stores a new name. The name of a founder is its address. Any other
// member's name is its address with a random suffix, so that votes and acknowledgements given with an earlier data folder
// at the same address do not count as this member's.
func loadOrCreateIdentity(s *Settings) (name string, founder bool, err error) {
	path := filepath.Join(s.DataDir, identityFile)
	data, err := os.ReadFile(path)
	if err == nil && len(data) > 0 {
		name = strings.TrimSpace(string(data))
		return name, name == s.PeerListen, nil
	}
	if err != nil && !errors.Is(err, fs.ErrNotExist) {
		return "", false, Error.Wrap(err)
	}
	name = s.PeerListen
	founder = s.FirstStart && slices.Contains(PeerAddresses(s.Seeds, s.PeerListen), s.PeerListen)
	if !founder {
		var b [8]byte
		if _, err := rand.Read(b[:]); err != nil {
			return "", false, Error.Wrap(err)
		}
		name += nameSeparator + hex.EncodeToString(b[:])
	}
	return name, founder, Error.Wrap(writeSynced(s.DataDir, identityFile, []byte(name+"\n")))
}

// writeSynced writes a file durably: once it returns, the file survives a power failure.
func writeSynced(dir, name string, data []byte) error {
	if err := os.MkdirAll(dir, 0o700); err != nil {
		return err
	}
	temporary := filepath.Join(dir, name+".new")
	if err := writeFile(temporary, data); err != nil {
		return err
	}
	if err := os.Rename(temporary, filepath.Join(dir, name)); err != nil {
		return err
	}
	folder, err := os.Open(dir)
	if err != nil {
		return err
	}
	return errors.Join(folder.Sync(), folder.Close())
}

func writeFile(path string, data []byte) error {
	f, err := os.OpenFile(path, os.O_WRONLY|os.O_CREATE|os.O_TRUNC, 0o600)
	if err != nil {
		return err
	}
	_, err = f.Write(data)
	if err == nil {
		err = f.Sync()
	}
	return errors.Join(err, f.Close())
}
