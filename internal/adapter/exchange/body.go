package exchange

import (
	"io"
	"net/http"
	"sync"
)

// body reads the body of a response. At the end of the body it returns the connection to
// the pool; on an error or an early Close it closes the connection.
type body struct {
	transfer *transfer
	response *http.Response
	reusable bool
	// confirmEnd returns an error if the end of the connection is not the end of the body.
	confirmEnd func() error

	once sync.Once
}

// Read implements io.Reader.
func (b *body) Read(p []byte) (int, error) {
	n, err := b.response.Body.Read(p)
	if err == io.EOF {
		if broken := b.confirmEnd(); broken != nil {
			err = broken
		}
	}
	switch {
	case err == io.EOF:
		b.once.Do(func() { b.transfer.finish(b.reusable, b.response.Header) })
	case err != nil:
		b.once.Do(b.transfer.abort)
	}
	return n, err
}

// Close implements io.Closer.
func (b *body) Close() error {
	b.once.Do(b.transfer.abort)
	return nil
}
