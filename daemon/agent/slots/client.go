package slots

import (
	"bufio"
	"bytes"
	"context"
	"errors"
	"io"
	"net"
	"net/http"
	"net/url"
	"os"
	"strings"
	"time"

	"github.com/ibispier/ibispier/request"
)

const (
	dialTimeout            = 2 * time.Second
	readBufferBytes        = 16 << 10
	maxRetainedBufferBytes = 256 << 10 // larger buffers are not kept for the next call
	maxInterimResponses    = 8         // 1xx responses accepted before the final response
	maxHeaderBytes         = 1 << 20   // bounds the header of a response
)

// client is an HTTP/1.1 client with one connection that performs one call at a
// time.
//
// It is used instead of http.Transport, which silently resends a request with an
// Idempotency-Key if the connection breaks, so that a non-idempotent request
// could run twice. The client also tracks whether any byte was sent, which
// distinguishes the outcomes NotRun and Unknown.
type client struct {
	maxBody       int64
	endpoint      *Endpoint
	conn          *net.TCPConn
	limitedReader io.LimitedReader // bounds the bytes read for one response
	reader        *bufio.Reader
	stopAfterFunc func() bool
	requestBuffer bytes.Buffer // the encoded request
}

// call performs one request. traceParent is added to the header unless it is
// empty. The outcome is NotRun only if no byte of the request was sent.
func (c *client) call(ctx context.Context, e *Endpoint, r *request.Request, traceParent string) *request.Response {
	if !time.Now().Before(r.Deadline) {
		return request.Refused(request.ReasonDeadline)
	}
	if !c.encode(e, r, traceParent) {
		return request.Refused(request.ReasonBadRequest)
	}
	reused := c.reusable(e)
	if !reused {
		if resp := c.dial(ctx, e, r.Deadline); resp != nil {
			return resp
		}
	}
	resp, started := c.exchange(r)
	if reused && !started && resp.Outcome != request.Done && r.Idempotent && ctx.Err() == nil {
		// The target probably closed the idle connection while the request was being
		// sent. An idempotent request is repeated once on a new connection.
		if again := c.dial(ctx, e, r.Deadline); again != nil {
			return again
		}
		resp, _ = c.exchange(r)
	}
	return resp
}

func (c *client) close() {
	if c.conn == nil {
		return
	}
	c.stopAfterFunc()
	_ = c.conn.Close()
	c.conn = nil
}

// reusable reports whether the open connection can carry a request to e.
func (c *client) reusable(e *Endpoint) bool {
	if c.conn != nil && (c.endpoint != e || c.reader.Buffered() > 0 || !isOpenIdle(c.conn)) {
		c.close()
	}
	return c.conn != nil
}

// dial opens a connection. If it fails, the request cannot have run, and dial
// returns a response that says so.
func (c *client) dial(ctx context.Context, e *Endpoint, deadline time.Time) *request.Response {
	c.close()
	dialer := net.Dialer{Timeout: dialTimeout, Deadline: deadline}
	conn, err := dialer.DialContext(ctx, "tcp", e.address)
	if err != nil {
		return request.Refused(request.ReasonNoTarget)
	}
	c.endpoint, c.conn = e, conn.(*net.TCPConn)
	c.stopAfterFunc = context.AfterFunc(ctx, func() { _ = conn.Close() })
	c.limitedReader.R = conn
	if c.reader == nil {
		c.reader = bufio.NewReaderSize(&c.limitedReader, readBufferBytes)
	}
	c.reader.Reset(&c.limitedReader)
	return nil
}

// exchange sends the encoded request and reads the response. started reports
// whether any byte of the response arrived.
func (c *client) exchange(r *request.Request) (resp *request.Response, started bool) {
	_ = c.conn.SetDeadline(r.Deadline)
	if n, err := c.conn.Write(c.requestBuffer.Bytes()); err != nil {
		c.close()
		if n == 0 {
			return request.Refused(request.ReasonNoTarget), false
		}
		return brokenCallResponse(err), false
	}
	c.limitedReader.N = maxHeaderBytes + c.maxBody
	if _, err := c.reader.Peek(1); err != nil {
		c.close()
		return brokenCallResponse(err), false
	}
	resp, keep := c.decode(r)
	if !keep {
		c.close()
	}
	return resp, true
}

// encode writes the request to requestBuffer with the encoder of net/http. It
// returns false if a part of the request would break the HTTP framing.
func (c *client) encode(e *Endpoint, r *request.Request, traceParent string) bool {
	path := e.prefix + r.Path
	// A path that starts with two slashes would be parsed as a URL with a host.
	if !isToken(r.Method) || !isRequestPath(path) || strings.HasPrefix(path, "//") {
		return false
	}
	header, ok := targetHeader(r, traceParent)
	if !ok {
		return false
	}
	out := &http.Request{
		Method:        r.Method,
		URL:           &url.URL{Scheme: "http", Host: e.host, Opaque: path}, // sends the path exactly as the caller wrote it
		Host:          e.host,
		Header:        header,
		Body:          http.NoBody,
		ContentLength: int64(len(r.Body)),
	}
	if len(r.Body) > 0 {
		out.Body = io.NopCloser(bytes.NewReader(r.Body))
	}
	if c.requestBuffer.Cap() > maxRetainedBufferBytes {
		c.requestBuffer = bytes.Buffer{}
	}
	c.requestBuffer.Reset()
	return out.Write(&c.requestBuffer) == nil
}

// targetHeader returns the header to send to the target, or false if a field
// would break the HTTP framing.
func targetHeader(r *request.Request, traceParent string) (http.Header, bool) {
	header := make(http.Header, len(r.Header)+4)
	ok := isFieldValue(r.ID) && isFieldValue(r.Customer) && isFieldValue(r.Key) && isFieldValue(traceParent)
	for _, f := range r.Header {
		ok = ok && isToken(f.Name) && isFieldValue(f.Value)
		header.Add(f.Name, f.Value)
	}
	if header.Get("User-Agent") == "" {
		header.Set("User-Agent", "") // keeps net/http from adding its own
	}
	header.Set("Ibispier-Request-Id", r.ID)
	header.Set("Ibispier-Customer", r.Customer)
	setOrDelete(header, "Traceparent", traceParent)
	setOrDelete(header, "Idempotency-Key", r.Key)
	return header, ok
}

func setOrDelete(h http.Header, name, value string) {
	h.Del(name)
	if value != "" {
		h.Set(name, value)
	}
}

// decode reads the whole response. The outcome of a truncated response is
// unknown. keep reports whether the connection can be reused.
func (c *client) decode(r *request.Request) (resp *request.Response, keep bool) {
	in, err := c.readHeader(r.Method)
	if err != nil {
		return brokenCallResponse(err), false
	}
	body, err := readBody(in, c.maxBody)
	if err != nil {
		return brokenCallResponse(err), false
	}
	if int64(len(body)) > c.maxBody {
		return request.Indeterminate(request.ReasonTooLarge), false
	}
	resp = &request.Response{Outcome: request.Done, Status: in.StatusCode, Body: body}
	resp.Header = make([]request.Field, 0, len(in.Header))
	for name, values := range in.Header {
		for _, v := range values {
			resp.Header = append(resp.Header, request.Field{Name: name, Value: v})
		}
	}
	return resp, !in.Close
}

// readHeader reads the header of the final response and skips interim responses.
func (c *client) readHeader(method string) (*http.Response, error) {
	for range maxInterimResponses {
		in, err := http.ReadResponse(c.reader, &http.Request{Method: method})
		if err != nil {
			return nil, err
		}
		if in.StatusCode == http.StatusSwitchingProtocols {
			return nil, Error.New("target sent 101 Switching Protocols")
		}
		if in.StatusCode >= http.StatusOK {
			return in, nil
		}
	}
	return nil, Error.New("target sent more than %d interim responses", maxInterimResponses)
}

// readBody reads a response body of at most limit bytes. A longer body yields
// more than limit bytes.
func readBody(in *http.Response, limit int64) ([]byte, error) {
	if in.ContentLength == 0 {
		return nil, nil
	}
	if in.ContentLength < 0 || in.ContentLength > limit || in.Request.Method == http.MethodHead {
		return io.ReadAll(io.LimitReader(in.Body, limit+1))
	}
	body := make([]byte, in.ContentLength)
	_, err := io.ReadFull(in.Body, body)
	return body, err
}

// brokenCallResponse returns the response for a call that failed after part of the
// request was sent, so that its outcome is unknown.
func brokenCallResponse(err error) *request.Response {
	if errors.Is(err, os.ErrDeadlineExceeded) {
		return request.Indeterminate(request.ReasonDeadline)
	}
	return request.Indeterminate(request.ReasonTargetFailed)
}
