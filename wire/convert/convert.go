// Package convert translates between the messages of package wire and the
// types of packages request and consensus.
package convert

import (
	"hash/crc32"
	"time"

	"github.com/zeebo/errs"

	"github.com/ibispier/ibispier/request"
	"github.com/ibispier/ibispier/wire"
)

// Error is the class of all errors of this package.
var Error = errs.Class("convert")

// ErrDamaged is returned for a body that does not have the declared length or
// checksum.
var ErrDamaged = Error.New("body does not match its length or checksum")

var castagnoli = crc32.MakeTable(crc32.Castagnoli)

// AttemptToFrame encodes an attempt that is sent at now. The deadline is encoded
// as the time left, so that the clocks of the two processes need not agree.
func AttemptToFrame(a *request.Attempt, now time.Time) *wire.Frame {
	r := a.Request
	return &wire.Frame{Body: &wire.Frame_Request{Request: &wire.Request{
		RequestId:      r.ID,
		Attempt:        a.Number,
		Customer:       r.Customer,
		Service:        r.Service,
		Target:         a.Target,
		Idempotent:     r.Idempotent,
		Key:            r.Key,
		ClaimEpoch:     a.ClaimEpoch,
		DeadlineMicros: r.Deadline.Sub(now).Microseconds(),
		Method:         r.Method,
		Path:           r.Path,
		Headers:        headersToWire(r.Header),
		Body:           r.Body,
		BodyCrc:        crc32.Checksum(r.Body, castagnoli),
		TraceParent:    r.TraceParent,
		Priority:       int32(r.Priority),
	}}}
}

// AttemptFromWire decodes an attempt that was received at now.
func AttemptFromWire(m *wire.Request, now time.Time) (*request.Attempt, error) {
	if crc32.Checksum(m.GetBody(), castagnoli) != m.GetBodyCrc() {
		return nil, ErrDamaged
	}
	return &request.Attempt{
		Number:     m.GetAttempt(),
		Target:     m.GetTarget(),
		ClaimEpoch: m.GetClaimEpoch(),
		Request: &request.Request{
			ID:          m.GetRequestId(),
			Customer:    m.GetCustomer(),
			Service:     m.GetService(),
			Idempotent:  m.GetIdempotent(),
			Key:         m.GetKey(),
			Deadline:    now.Add(time.Duration(m.GetDeadlineMicros()) * time.Microsecond),
			Method:      m.GetMethod(),
			Path:        m.GetPath(),
			Header:      headersFromWire(m.GetHeaders()),
			Body:        m.GetBody(),
			TraceParent: m.GetTraceParent(),
			Priority:    int(m.GetPriority()),
		},
	}, nil
}

// ResponseToFrame encodes the response to an attempt.
func ResponseToFrame(a *request.Attempt, r *request.Response, load request.Load) *wire.Frame {
	return &wire.Frame{Body: &wire.Frame_Response{Response: responseToWire(a, r, load)}}
}

func responseToWire(a *request.Attempt, r *request.Response, load request.Load) *wire.Response {
	return &wire.Response{
		RequestId:     a.Request.ID,
		Attempt:       a.Number,
		Outcome:       outcomeToWire(r.Outcome),
		Reason:        string(r.Reason),
		Status:        int32(r.Status),
		Headers:       headersToWire(r.Header),
		Body:          r.Body,
		BodyLength:    int64(len(r.Body)),
		BodyCrc:       crc32.Checksum(r.Body, castagnoli),
		InFlight:      uint32(load.InFlight),
		Queued:        uint32(load.Queued),
		ServiceMicros: load.Service.Microseconds(),
	}
}

// ResponseFromWire decodes a response. It returns ErrDamaged for a damaged body.
func ResponseFromWire(m *wire.Response) (*request.Response, request.Load, error) {
	load := request.Load{
		InFlight: int(m.GetInFlight()),
		Queued:   int(m.GetQueued()),
		Service:  time.Duration(m.GetServiceMicros()) * time.Microsecond,
	}
	intact := int64(len(m.GetBody())) == m.GetBodyLength() &&
		crc32.Checksum(m.GetBody(), castagnoli) == m.GetBodyCrc()
	if !intact {
		return nil, load, ErrDamaged
	}
	return &request.Response{
		Outcome: outcomeFromWire(m.GetOutcome()),
		Reason:  request.Reason(m.GetReason()),
		Status:  int(m.GetStatus()),
		Header:  headersFromWire(m.GetHeaders()),
		Body:    m.GetBody(),
	}, load, nil
}

func outcomeToWire(o request.Outcome) wire.Outcome {
	switch o {
	case request.Done:
		return wire.Outcome_OUTCOME_DONE
	case request.NotRun:
		return wire.Outcome_OUTCOME_NOT_RUN
	default:
		return wire.Outcome_OUTCOME_UNKNOWN
	}
}

func outcomeFromWire(o wire.Outcome) request.Outcome {
	switch o {
	case wire.Outcome_OUTCOME_DONE:
		return request.Done
	case wire.Outcome_OUTCOME_NOT_RUN:
		return request.NotRun
	default:
		return request.Unknown
	}
}

func headersToWire(fields []request.Field) []*wire.Header {
	if len(fields) == 0 {
		return nil
	}
	storage := make([]wire.Header, len(fields))
	headers := make([]*wire.Header, len(fields))
	for i, f := range fields {
		storage[i].Name = f.Name
		storage[i].Value = f.Value
		headers[i] = &storage[i]
	}
	return headers
}

func headersFromWire(headers []*wire.Header) []request.Field {
	if len(headers) == 0 {
		return nil
	}
	fields := make([]request.Field, len(headers))
	for i, h := range headers {
		fields[i] = request.Field{Name: h.GetName(), Value: h.GetValue()}
	}
	return fields
}

// ClaimQueryToFrame encodes a query for the state of a claim.
func ClaimQueryToFrame(id uint64, key request.Key, epoch, incarnation uint64) *wire.Frame {
	return &wire.Frame{Body: &wire.Frame_ClaimQuery{ClaimQuery: &wire.ClaimQuery{
		Id: id, Key: keyToWire(key), Epoch: epoch, Incarnation: incarnation,
	}}}
}

// ClaimAnswerToFrame encodes the answer to a ClaimQuery. resp is set for
// ClaimDone.
func ClaimAnswerToFrame(id uint64, state request.ClaimState, resp *request.Response) *wire.Frame {
	m := &wire.ClaimAnswer{Id: id, State: claimStateToWire(state)}
	if resp != nil {
		noAttempt := &request.Attempt{Request: &request.Request{}}
		m.Response = responseToWire(noAttempt, resp, request.Load{})
	}
	return &wire.Frame{Body: &wire.Frame_ClaimAnswer{ClaimAnswer: m}}
}

// ClaimAnswerFromWire decodes the answer to a ClaimQuery. It returns ErrDamaged
// for a damaged response body.
func ClaimAnswerFromWire(m *wire.ClaimAnswer) (request.ClaimState, *request.Response, error) {
	state := claimStateFromWire(m.GetState())
	if state != request.ClaimDone {
		return state, nil, nil
	}
	resp, _, err := ResponseFromWire(m.GetResponse())
	return state, resp, err
}

// ClaimForgetToFrame encodes the message that the outcome of a claim is recorded.
func ClaimForgetToFrame(key request.Key, epoch uint64) *wire.Frame {
	return &wire.Frame{Body: &wire.Frame_ClaimForget{ClaimForget: &wire.ClaimForget{Key: keyToWire(key), Epoch: epoch}}}
}

// KeyFromWire decodes the key of a non-idempotent request.
func KeyFromWire(m *wire.RequestKey) request.Key {
	return request.Key{Customer: m.GetCustomer(), Service: m.GetService(), Key: m.GetKey()}
}

func keyToWire(k request.Key) *wire.RequestKey {
	return &wire.RequestKey{Customer: k.Customer, Service: k.Service, Key: k.Key}
}

func claimStateToWire(s request.ClaimState) wire.ClaimState {
	switch s {
	case request.ClaimRunning:
		return wire.ClaimState_CLAIM_STATE_RUNNING
	case request.ClaimDone:
		return wire.ClaimState_CLAIM_STATE_DONE
	case request.ClaimNotRun:
		return wire.ClaimState_CLAIM_STATE_NOT_RUN
	default:
		return wire.ClaimState_CLAIM_STATE_UNKNOWN
	}
}

func claimStateFromWire(s wire.ClaimState) request.ClaimState {
	switch s {
	case wire.ClaimState_CLAIM_STATE_RUNNING:
		return request.ClaimRunning
	case wire.ClaimState_CLAIM_STATE_DONE:
		return request.ClaimDone
	case wire.ClaimState_CLAIM_STATE_NOT_RUN:
		return request.ClaimNotRun
	default:
		return request.ClaimUnknown
	}
}
