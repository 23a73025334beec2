package forward

import (
	"io"
	"net/http"
	"sync"
	"time"
)

const (
	streamBufferBytes = 32 << 10
	// callerProgressTimeout is the longest time that a caller may take to receive, or to send, a part of a body. A
	// response has a write deadline only from the first part on that fills the whole buffer.
	callerProgressTimeout = 20 * time.Second
)

var streamBuffers = sync.Pool{New: func() any { b := make([]byte, streamBufferBytes); return &b }}

// streamBody copies the body of a response through one bounded buffer. Parts of a response without Content-Length are
// flushed as they arrive.
func streamBody(w http.ResponseWriter, resp *http.Response) error {
	buffer := streamBuffers.Get().(*[]byte)
	defer streamBuffers.Put(buffer)
	control := http.NewResponseController(w)
	deadlineSet := false
	for {
		n, err := resp.Body.Read(*buffer)
		if n > 0 {
			if n == streamBufferBytes || deadlineSet {
				_ = control.SetWriteDeadline(time.Now().Add(callerProgressTimeout))
				deadlineSet = true
			}
			if _, writeErr := w.Write((*buffer)[:n]); writeErr != nil {
				return writeErr
			}
			if resp.ContentLength < 0 {
				_ = control.Flush()
			}
		}
		if err == io.EOF {
			if deadlineSet {
				_ = control.SetWriteDeadline(time.Time{})
			}
			return nil
		}
		if err != nil {
			return err
		}
	}
}
