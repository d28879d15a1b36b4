package frontend

import (
	"errors"
	"math/rand/v2"
	"net/http"
	"strconv"
	"strings"
	"time"

	"github.com/ibispier/ibispier/httpduty"
	"github.com/ibispier/ibispier/request"
)

// Header fields of the HTTP API for callers.
const (
	HeaderCustomer       = "Ibispier-Customer"
	HeaderDeadline       = "Ibispier-Deadline-Ms"
	HeaderIdempotent     = "Ibispier-Idempotent"
	HeaderIdempotencyKey = "Idempotency-Key"
	HeaderOutcome        = "Ibispier-Outcome"
	HeaderReason         = "Ibispier-Reason"
	HeaderRequestID      = "Ibispier-Request-Id"
)

const (
	defaultDeadline = time.Second
	maxDeadline     = 5 * time.Minute
	maxIDBytes      = 128

	segmentsBeforePath = 3 // /v1/services/{service}
)

// parseRequest converts an HTTP request into a request to route. For an invalid
// request it returns the refusal to answer with instead.
func (d *Duty) parseRequest(w http.ResponseWriter, r *http.Request, now time.Time) (*request.Request, *request.Response) {
	req := &request.Request{
		ID:          requestID(r),
		Customer:    r.Header.Get(HeaderCustomer),
		Service:     r.PathValue("service"),
		Key:         r.Header.Get(HeaderIdempotencyKey),
		Method:      r.Method,
		Path:        targetPath(r),
		Header:      forwardedHeader(r.Header),
		TraceParent: r.Header.Get("Traceparent"),
	}
	deadline, deadlineOK := parseDeadline(r.Header.Get(HeaderDeadline))
	idempotent, idempotentOK := parseIdempotent(r.Header.Get(HeaderIdempotent), r.Method)
	if !deadlineOK || !idempotentOK || req.Customer == "" {
		return nil, request.Refused(request.ReasonBadRequest)
	}
	req.Deadline, req.Idempotent = now.Add(deadline), idempotent
	if !idempotent && (req.Key == "" || len(req.Key) > maxIDBytes) {
		return nil, request.Refused(request.ReasonBadRequest)
	}
	if r.ContentLength == 0 {
		return req, nil
	}
	body, err := httpduty.ReadBody(r, d.settings.MaxBodyBytes)
	if err != nil {
		return nil, bodyRefusal(err)
	}
	req.Body = body
	return req, nil
}

// bodyRefusal returns the refusal of a request whose body could not be read.
func bodyRefusal(err error) *request.Response {
	switch {
	case errors.Is(err, httpduty.ErrTooLarge):
		return request.Refused(request.ReasonTooLarge)
	case errors.Is(err, httpduty.ErrNoRoom), errors.Is(err, httpduty.ErrStalled):
		return request.Refused(request.ReasonOverloaded)
	}
	return request.Refused(request.ReasonBadRequest)
}

// requestID returns the caller's request id, or a random one if the id is
// missing or too long.
func requestID(r *http.Request) string {
	if id := r.Header.Get(HeaderRequestID); id != "" && len(id) <= maxIDBytes {
		return id
	}
	return strconv.FormatUint(rand.Uint64(), 36)
}

// targetPath returns the escaped path and query after the service name. The
// path stays escaped so that the target receives it exactly as the caller sent
// it.
func targetPath(r *http.Request) string {
	path := r.URL.EscapedPath()
	for range segmentsBeforePath {
		if i := strings.IndexByte(path[1:], '/'); i >= 0 {
			path = path[i+1:]
		}
	}
	if r.URL.RawQuery != "" {
		path += "?" + r.URL.RawQuery
	}
	return path
}

func parseDeadline(text string) (time.Duration, bool) {
	if text == "" {
		return defaultDeadline, true
	}
	millis, err := strconv.ParseInt(text, 10, 64)
	deadline := time.Duration(millis) * time.Millisecond
	return deadline, err == nil && millis > 0 && deadline <= maxDeadline
}

// parseIdempotent reads the Ibispier-Idempotent field. Without the field, only
// safe methods count as idempotent.
func parseIdempotent(text, method string) (idempotent, ok bool) {
	switch text {
	case "true":
		return true, true
	case "false":
		return false, true
	case "":
		safe := method == http.MethodGet || method == http.MethodHead || method == http.MethodOptions
		return safe, true
	default:
		return false, false
	}
}

// forwardedHeader returns the end-to-end header fields to forward to the target.
// Hop-by-hop fields and this system's own fields are left out.
func forwardedHeader(h http.Header) []request.Field {
	fields := make([]request.Field, 0, len(h))
	for name, values := range h {
		if isHopByHop(name) || strings.HasPrefix(name, "Ibispier-") {
			continue
		}
		for _, v := range values {
			fields = append(fields, request.Field{Name: name, Value: v})
		}
	}
	return fields
}

func isHopByHop(name string) bool {
	switch name {
	case "Connection", "Keep-Alive", "Proxy-Authenticate", "Proxy-Authorization", "Proxy-Connection",
		"Te", "Trailer", "Transfer-Encoding", "Upgrade", "Content-Length":
		return true
	}
	return false
}

func writeResponse(w http.ResponseWriter, id string, resp *request.Response) {
	h := w.Header()
	for _, f := range resp.Header {
		if !isHopByHop(f.Name) {
			h.Add(f.Name, f.Value)
		}
	}
	h.Set(HeaderRequestID, id)
	h.Set(HeaderOutcome, resp.Outcome.String())
	if resp.Reason != request.ReasonNone {
		h.Set(HeaderReason, string(resp.Reason))
	}
	h.Set("Content-Length", strconv.Itoa(len(resp.Body)))
	w.WriteHeader(httpStatus(resp))
	_, _ = w.Write(resp.Body)
}

// httpStatus maps an outcome to the HTTP status documented in docs/api.md.
func httpStatus(resp *request.Response) int {
	switch {
	case resp.Outcome == request.Done:
		return resp.Status
	case resp.Outcome == request.Unknown:
		return http.StatusBadGateway
	}
	switch resp.Reason {
	case request.ReasonBadRequest:
		return http.StatusBadRequest
	case request.ReasonUnknownCustomer, request.ReasonNotPermitted:
		return http.StatusForbidden
	case request.ReasonUnknownService:
		return http.StatusNotFound
	case request.ReasonKeyConflict, request.ReasonDuplicateExpired:
		return http.StatusConflict
	case request.ReasonTooLarge:
		return http.StatusRequestEntityTooLarge
	case request.ReasonOverLimit:
		return http.StatusTooManyRequests
	case request.ReasonDeadline:
		return http.StatusGatewayTimeout
	default:
		return http.StatusServiceUnavailable
	}
}
