package failure

import (
	"errors"
	"syscall"
)

// connectionRefused reports whether the connection was refused, so that the request was never sent.
func connectionRefused(err error) bool { return errors.Is(err, syscall.ECONNREFUSED) }
