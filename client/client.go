// Package client calls the HTTP interfaces of ibispier.
//
// A call is retried at the next address when its response is lost or the process
// has no quorum. Retries are safe because every operation that changes state is
// identified by a change id, a task id or a name.
package client

import (
	"bytes"
	"context"
	"encoding/json"
	"errors"
	"io"
	"net/http"
	"strconv"
	"time"

	"github.com/zeebo/errs"

	"github.com/ibispier/ibispier/controlapi"
	"github.com/ibispier/ibispier/supervise"
)

// ErrorClass is the class of all errors of this package that are not an *Error.
var ErrorClass = errs.Class("client")

const (
	// DefaultTimeout bounds a call with all its retries. It is longer than an
	// election, so a call survives the loss of the leader.
	DefaultTimeout = 10 * time.Second
	// attemptsPerTimeout leaves time for other addresses when one does not
	// respond.
	attemptsPerTimeout = 4
	resendDelay        = 200 * time.Millisecond
	maxAnswerBytes     = 64 << 20
)

// Options configure a Client.
type Options struct {
	Admin   []string      // admin addresses, ip:port
	Entry   []string      // entry addresses, ip:port
	Timeout time.Duration // bounds a call with all its retries; default DefaultTimeout
}

// Client calls the operator API and the task API. It is safe for concurrent use.
type Client struct {
	options Options
	http    *http.Client
}

// New returns a client.
func New(o Options) *Client {
	if o.Timeout <= 0 {
		o.Timeout = DefaultTimeout
	}
	return &Client{options: o, http: &http.Client{Transport: &http.Transport{DisableKeepAlives: true}}}
}

// Error is a failed call.
type Error struct {
	Status int // HTTP status; 0 when no response arrived
	Detail controlapi.Error
}

// Error formats the status and the detail.
func (e *Error) Error() string {
	if e.Status == 0 {
		return e.Detail.Error()
	}
	return "status=" + strconv.Itoa(e.Status) + " " + e.Detail.Error()
}

// Retryable reports whether the call may be retried: no response arrived, or the
// process could not reach the quorum.
func (e *Error) Retryable() bool {
	switch e.Status {
	case 0, http.StatusServiceUnavailable, http.StatusGatewayTimeout, http.StatusBadGateway:
		return true
	}
	return false
}

// call holds the parameters of a call, which stay the same for every attempt.
type call struct {
	addresses []string
	method    string
	path      string
	body      []byte
}

func (c *Client) admin(ctx context.Context, method, path string, in, out any) error {
	return c.do(ctx, c.options.Admin, method, path, in, out)
}

func (c *Client) entry(ctx context.Context, method, path string, in, out any) error {
	return c.do(ctx, c.options.Entry, method, path, in, out)
}

// Document returns the JSON document at a path of an HTTP interface other than the
// admin and entry ones, from the first of its addresses that responds.
func (c *Client) Document(ctx context.Context, addresses []string, path string) ([]byte, error) {
	var out json.RawMessage
	err := c.do(ctx, addresses, http.MethodGet, path, nil, &out)
	return out, err
}

func (c *Client) do(ctx context.Context, addresses []string, method, path string, in, out any) error {
	if len(addresses) == 0 {
		return ErrorClass.New("step=call path=%s: no address", path)
	}
	call := call{addresses: addresses, method: method, path: path}
	if in != nil {
		body, err := json.Marshal(in)
		if err != nil {
			return ErrorClass.Wrap(err)
		}
		call.body = body
	}
	ctx, cancel := context.WithTimeout(ctx, c.options.Timeout)
	defer cancel()
	return c.resend(ctx, call, out)
}

// resend tries the addresses in turn until one returns a final response or ctx
// ends. It returns the last error.
func (c *Client) resend(ctx context.Context, call call, out any) error {
	for i := 0; ; i++ {
		address := call.addresses[i%len(call.addresses)]
		err := c.send(ctx, address, call, out)
		var failed *Error
		if err == nil || !errors.As(err, &failed) || !failed.Retryable() {
			return err
		}
		if !supervise.Sleep(ctx, resendDelay) {
			return err
		}
	}
}

func (c *Client) send(ctx context.Context, address string, call call, out any) error {
	timeout := c.options.Timeout / attemptsPerTimeout
	ctx, cancel := context.WithTimeout(ctx, timeout)
	defer cancel()
	req, err := http.NewRequestWithContext(ctx, call.method, "http://"+address+call.path, bytes.NewReader(call.body))
	if err != nil {
		return ErrorClass.Wrap(err)
	}
	// A deadline below the timeout lets the process report its own reason before
	// the client gives up.
	deadline := timeout * 4 / 5
	req.Header.Set("Ibispier-Deadline-Ms", strconv.FormatInt(max(deadline.Milliseconds(), 1), 10))
	if call.body != nil {
		req.Header.Set("Content-Type", "application/json")
	}
	resp, err := c.http.Do(req)
	if err != nil {
		return noAnswerError("send", address, err)
	}
	defer resp.Body.Close()
	body, err := io.ReadAll(io.LimitReader(resp.Body, maxAnswerBytes))
	if err != nil {
		return noAnswerError("read", address, err)
	}
	return decode(address, resp.StatusCode, body, out)
}

func decode(address string, status int, body []byte, out any) error {
	if status >= 300 {
		return responseError(address, status, body)
	}
	if out == nil || len(body) == 0 {
		return nil
	}
	if err := json.Unmarshal(body, out); err != nil {
		return ErrorClass.New("step=decode peer=%s: %w", address, err)
	}
	return nil
}

// responseError decodes the error in a response. A response without one, such as
// that of a proxy, is reported by its HTTP status.
func responseError(address string, status int, body []byte) error {
	var typed struct {
		Error controlapi.Error `json:"error"`
	}
	if err := json.Unmarshal(body, &typed); err != nil || typed.Error.Reason == "" {
		typed.Error = controlapi.Error{Reason: "http_status", Message: http.StatusText(status)}
	}
	if typed.Error.Peer == "" {
		typed.Error.Peer = address
	}
	return &Error{Status: status, Detail: typed.Error}
}

func noAnswerError(step, address string, err error) error {
	return &Error{Detail: controlapi.Error{
		Reason: controlapi.ReasonUnavailable, Step: step, Peer: address, Message: err.Error(),
	}}
}
