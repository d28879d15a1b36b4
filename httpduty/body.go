package httpduty

import (
	"errors"
	"io"
	"net/http"
	"os"
	"strconv"
	"time"

	"github.com/ibispier/ibispier/httpduty/bodylimit"
)

// Errors of a body that is not received to its end. Nothing of it was used.
var (
	ErrTooLarge = Error.New("body is too large")
	ErrNoRoom   = Error.New("no room for the body")
	ErrStalled  = Error.New("body has made no progress")
)

const (
	// refusalTime bounds how long the server reads what the client of a refused body
	// still sends, so that the client can read the refusal.
	refusalTime = time.Second
	// refusedRetryAfter is the Retry-After time of a refused body, in seconds.
	refusedRetryAfter = 1
)

// admitBodies returns a handler that reserves room for each body before it is read. A
// body without room, or beyond the limit of the listener, is refused at once.
func (s *Server) admitBodies(next http.Handler) http.Handler {
	return http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		if r.ContentLength == 0 || r.Body == nil || r.Body == http.NoBody {
			next.ServeHTTP(w, r)
			return
		}
		c := r.Context().Value(connKey{}).(*conn)
		body, err := s.admit(c, r)
		if err != nil {
			_ = c.SetReadDeadline(time.Now().Add(refusalTime))
			s.options.RefuseBody(w, r, err)
			return
		}
		defer s.limits.release(body.reservation)
		// net/http knows its own type of body in its request, and answers at once where the
		// handler has not read it. So the handler gets a copy.
		admitted := *r
		admitted.Body = body
		next.ServeHTTP(w, &admitted)
		if body.err == nil { // not read to its end, which net/http waits for
			_ = c.SetReadDeadline(time.Now().Add(refusalTime))
		}
	})
}

func (s *Server) admit(c *conn, r *http.Request) (*admittedBody, error) {
	bytes := r.ContentLength
	if bytes < 0 { // chunked
		bytes = min(bodylimit.SmallBytes, s.options.MaxBodyBytes)
	}
	if bytes > s.options.MaxBodyBytes {
		s.limits.countRefused(reasonTooLarge, c)
		return nil, ErrTooLarge
	}
	reservation := s.limits.admit(c, bytes)
	if reservation == nil {
		s.limits.countRefused(reasonNoRoom, c)
		return nil, ErrNoRoom
	}
	_ = c.SetReadDeadline(time.Now().Add(s.limits.window))
	return &admittedBody{
		ReadCloser: r.Body, conn: c, reservation: reservation, reserved: bytes, length: r.ContentLength, limit: s.options.MaxBodyBytes,
	}, nil
}

// admittedBody is a body that has a reservation. Read raises the reservation of a
// chunked body before it returns more bytes.
type admittedBody struct {
	io.ReadCloser
	conn        *conn
	reservation *bodylimit.Body
	reserved    int64
	read        int64
	length      int64 // -1 for a chunked body
	limit       int64
	err         error
}

// Read implements io.Reader. It returns ErrTooLarge, ErrNoRoom or ErrStalled for a body
// that is not received to its end.
func (b *admittedBody) Read(p []byte) (int, error) {
	if b.err != nil || len(p) == 0 {
		return 0, b.err
	}
	if b.read == b.reserved && b.length < 0 && !b.grow() {
		return 0, b.err
	}
	if room := b.reserved - b.read; b.length < 0 && int64(len(p)) > room {
		p = p[:max(room, 1)] // at the limit, one more byte shows that the body is too large
	}
	n, err := b.ReadCloser.Read(p)
	b.read += int64(n)
	switch limits := b.conn.server.limits; {
	case b.read > b.limit:
		n, err = 0, b.refuse(reasonTooLarge, ErrTooLarge)
	case errors.Is(err, os.ErrDeadlineExceeded):
		err = b.refuse(reasonStalled, ErrStalled)
	case limits.received(b.reservation, n, err != nil || b.read == b.length):
		_ = b.conn.SetReadDeadline(time.Now().Add(limits.window))
	}
	if err == io.EOF {
		// net/http goes on reading, to learn that the client disconnects.
		_ = b.conn.SetReadDeadline(time.Time{})
	}
	b.err = err
	return n, err
}

// grow doubles the reservation, up to the limit of the listener.
func (b *admittedBody) grow() bool {
	if b.reserved == b.limit {
		return true
	}
	size := min(2*b.reserved, b.limit)
	if !b.conn.server.limits.grow(b.reservation, size) {
		b.err = b.refuse(reasonNoRoom, ErrNoRoom)
		return false
	}
	b.reserved = size
	return true
}

func (b *admittedBody) refuse(reason string, err error) error {
	b.conn.server.limits.countRefused(reason, b.conn)
	_ = b.conn.SetReadDeadline(time.Now().Add(refusalTime))
	return err
}

// ReadBody returns the whole body of a request that a Server has admitted, in a buffer
// that is no larger than the reservation. limit may be lower than that of the Server.
func ReadBody(r *http.Request, limit int64) ([]byte, error) {
	b, admitted := r.Body.(*admittedBody)
	if !admitted {
		data, err := io.ReadAll(io.LimitReader(r.Body, limit+1))
		if int64(len(data)) > limit {
			err = ErrTooLarge
		}
		return data, err
	}
	if b.length > limit {
		return nil, b.refuse(reasonTooLarge, ErrTooLarge)
	}
	b.limit = min(b.limit, limit)
	b.reserved = min(b.reserved, b.limit)
	if b.length >= 0 {
		data := make([]byte, b.length)
		_, err := io.ReadFull(b, data)
		if err == nil {
			_, err = b.Read(make([]byte, 1)) // reads the end, as net/http expects
		}
		return data, ignoreEOF(err)
	}
	return readChunked(b)
}

func readChunked(b *admittedBody) ([]byte, error) {
	data := newBuffer(b)
	for {
		if int64(len(data)) == b.reserved && b.reserved < b.limit {
			if !b.grow() {
				return data, b.err
			}
			data = append(newBuffer(b), data...)
		}
		n, err := b.Read(data[len(data):cap(data)])
		data = data[:len(data)+n]
		if err != nil {
			return data, ignoreEOF(err)
		}
	}
}

// newBuffer has room for the reservation and for the byte by which Read finds a body
// that is too large.
func newBuffer(b *admittedBody) []byte {
	return make([]byte, 0, b.reserved+1)
}

func ignoreEOF(err error) error {
	if err == io.EOF {
		return nil
	}
	return err
}

// IsBodyError reports whether err is one of the errors of a body that is not received
// to its end, for which WriteBodyError has a status.
func IsBodyError(err error) bool {
	return errors.Is(err, ErrTooLarge) || errors.Is(err, ErrNoRoom) || errors.Is(err, ErrStalled)
}

// WriteBodyError writes the response for a body that was not received to its end, and
// closes the connection after it. The request was not carried out.
func WriteBodyError(w http.ResponseWriter, err error) {
	w.Header().Set("Connection", "close")
	status := http.StatusBadRequest
	switch {
	case errors.Is(err, ErrTooLarge):
		status = http.StatusRequestEntityTooLarge
	case errors.Is(err, ErrNoRoom), errors.Is(err, ErrStalled):
		status = http.StatusServiceUnavailable
		w.Header().Set("Retry-After", strconv.Itoa(refusedRetryAfter))
	}
	http.Error(w, err.Error(), status)
}
