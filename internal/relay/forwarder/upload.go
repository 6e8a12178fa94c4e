package forwarder

import (
	"io"
	"net"

	"github.com/cockroachdb/errors"
)

// upload is a request that is written while its response is read.
type upload struct {
	// done is closed once the request is written or has failed with err.
	done chan struct{}
	err  error
}

// startUpload writes a request to conn. Closing conn ends it.
func startUpload(conn net.Conn, buffers net.Buffers) *upload {
	u := &upload{done: make(chan struct{})}
	go func() {
		defer close(u.done)
		_, u.err = buffers.WriteTo(conn)
	}()
	return u
}

// isWritten reports whether the request has ended, whole or not. It is true for a nil upload.
func (u *upload) isWritten() bool {
	if u == nil {
		return true
	}
	select {
	case <-u.done:
		return true
	default:
		return false
	}
}

// unframedBody is a body that ends with its connection, of a response to an upload. The system reports the failure
// of a connection to one call only, which may be that of the upload; reading then ends as if the target had closed
// the connection. So the end of the body is believed only if all of the request could be written.
type unframedBody struct {
	io.ReadCloser
	upload *upload
}

// Read reads from the body. At its end it waits for the end of the upload.
func (b *unframedBody) Read(p []byte) (int, error) {
	n, err := b.ReadCloser.Read(p)
	if !errors.Is(err, io.EOF) {
		return n, err
	}
	<-b.upload.done
	if b.upload.err != nil {
		return n, errors.Wrap(b.upload.err, "the connection failed before the request was written")
	}
	return n, err
}
