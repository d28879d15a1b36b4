package load

import (
	"bytes"
	"context"
	"io"
	"net/http"
	"net/url"
	"strconv"
	"strings"
	"time"

	"github.com/ibispier/ibispier/ring"
)

// answerGrace is how long a sender waits beyond the deadline of a request, so that
// the entry instance can report the missed deadline itself.
const answerGrace = 2 * time.Second

// maxAnswerBytes bounds how much of a response a sender reads.
const maxAnswerBytes = 8 << 20

// Check reports whether answer is the complete response body of the request with
// id, uri and body.
type Check func(id, uri string, body, answer []byte) bool

// EchoCheck checks responses of the stand-in target, which echoes the request id,
// the URI and the body.
func EchoCheck(id, uri string, body, answer []byte) bool {
	return string(answer) == id+" "+uri+"\n"+string(body)
}

// NoCheck accepts any response.
func NoCheck(string, string, []byte, []byte) bool { return true }

// outcome is the result of one request, or the end of a sender.
type outcome struct {
	request     scheduledRequest
	latency     time.Duration // from the intended send time
	sendDelay   time.Duration // from the intended to the actual send time
	kind        string        // done, not-run, unknown or unsent
	reason      string
	status      int
	wrongAnswer bool // done, but the response is incomplete or of another request
	senderEnded bool // the sender has returned; no other field is set
}

// sender is the duty that sends requests one at a time.
type sender struct {
	options  Options
	start    time.Time
	client   *http.Client
	requests *ring.Ring[scheduledRequest]
	outcomes *ring.Ring[outcome]
}

// Run sends requests until the ring of requests is closed and empty.
func (s *sender) Run(ctx context.Context) error {
	for {
		next, err := s.requests.Take(ctx)
		if err != nil {
			_ = s.outcomes.Put(ctx, outcome{senderEnded: true})
			return nil
		}
		if err := s.outcomes.Put(ctx, s.send(ctx, next)); err != nil {
			return nil
		}
	}
}

func (s *sender) send(ctx context.Context, next scheduledRequest) outcome {
	intended := s.start.Add(next.offset)
	o := outcome{request: next, sendDelay: time.Since(intended), kind: "unknown", reason: "no_answer"}
	ctx, cancel := context.WithTimeout(ctx, s.options.Deadline+answerGrace)
	defer cancel()
	req, body, err := s.request(ctx, next)
	if err != nil {
		o.reason = "bad_request"
		return o
	}
	resp, err := s.client.Do(req)
	if err == nil {
		err = s.read(&o, resp, body)
	}
	if err != nil {
		o.kind, o.reason = "unknown", "no_answer"
	}
	o.latency = time.Since(intended)
	return o
}

func (s *sender) request(ctx context.Context, next scheduledRequest) (*http.Request, []byte, error) {
	method, body := http.MethodGet, []byte(nil)
	if !next.idempotent {
		method, body = http.MethodPost, bodyOf(next.id, s.options.BodyBytes)
	}
	target := "http://" + next.entry + "/v1/services/" + url.PathEscape(s.options.Service) + s.options.Path
	req, err := http.NewRequestWithContext(ctx, method, target, bytes.NewReader(body))
	if err != nil {
		return nil, nil, Error.Wrap(err)
	}
	h := req.Header
	h.Set("Ibispier-Customer", s.options.Customer)
	h.Set("Ibispier-Request-Id", next.id)
	h.Set("Ibispier-Deadline-Ms", strconv.FormatInt(s.options.Deadline.Milliseconds(), 10))
	h.Set("Ibispier-Idempotent", strconv.FormatBool(next.idempotent))
	if !next.idempotent {
		h.Set("Idempotency-Key", next.id)
	}
	return req, body, nil
}

// bodyOf returns a body that differs for each request.
func bodyOf(id string, size int) []byte {
	if size == 0 {
		return nil
	}
	return []byte(strings.Repeat(id+";", size/(len(id)+1)+1)[:size])
}

func (s *sender) read(o *outcome, resp *http.Response, body []byte) error {
	defer resp.Body.Close()
	answer, err := io.ReadAll(io.LimitReader(resp.Body, maxAnswerBytes))
	if err != nil {
		return err
	}
	o.status = resp.StatusCode
	o.kind, o.reason = resp.Header.Get("Ibispier-Outcome"), resp.Header.Get("Ibispier-Reason")
	switch o.kind {
	case "done":
		// Check applies to the body of successful responses only.
		own := resp.Header.Get("Ibispier-Request-Id") == o.request.id
		o.wrongAnswer = !own || o.status == http.StatusOK && !s.options.Check(o.request.id, s.options.Path, body, answer)
	case "not-run", "unknown":
	default:
		o.kind, o.reason = "unknown", "not_ibispier"
	}
	return nil
}
