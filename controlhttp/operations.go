// Package controlhttp runs control operations on behalf of HTTP handlers and
// encodes the results as JSON. The operator API and the task API share it.
package controlhttp

import (
	"bytes"
	"context"
	"encoding/json"
	"errors"
	"io"
	"net/http"
	"strconv"
	"strings"
	"time"

	"github.com/ibispier/ibispier/controlapi"
	"github.com/ibispier/ibispier/daemon/controlclient"
	"github.com/ibispier/ibispier/httpduty"
	"github.com/ibispier/ibispier/httpduty/jsonlimit"
)

// Control executes control operations.
type Control interface {
	Do(ctx context.Context, op controlapi.Operation, in, out any) error
}

const (
	// MaxBodyBytes leaves room for the customer and plan lists of a deployment
	// with several thousand customers.
	MaxBodyBytes    = 4 << 20
	headerDeadline  = "Ibispier-Deadline-Ms"
	defaultDeadline = 5 * time.Second
	maxDeadline     = time.Minute
)

// bodyLimits bound the customers, plans and services of a body together.
var bodyLimits = jsonlimit.Limits{Rows: 16 << 10, Nested: 16 << 10}

// ErrorBody is the JSON body of every error response.
type ErrorBody struct {
	Error controlapi.Error `json:"error"`
}

// Read decodes the JSON body of r into v. Unknown fields are rejected because a
// misspelt limit would otherwise be read as 0 without an error.
func Read(r *http.Request, v any) error {
	data, err := httpduty.ReadBody(r, MaxBodyBytes)
	if err != nil {
		return readError(err)
	}
	if err := bodyLimits.Check(data); err != nil {
		return readError(err)
	}
	decoder := json.NewDecoder(bytes.NewReader(data))
	decoder.DisallowUnknownFields()
	if err := decoder.Decode(v); err != nil {
		return readError(err)
	}
	if _, err := decoder.Token(); err != io.EOF {
		return &controlapi.Error{Reason: controlapi.ReasonBadRequest, Step: "decode", Message: "more than one JSON value"}
	}
	return nil
}

func readError(err error) error {
	switch {
	case errors.Is(err, httpduty.ErrTooLarge):
		return &controlapi.Error{Reason: "too_large", Step: "read", Message: err.Error()}
	case errors.Is(err, httpduty.ErrNoRoom), errors.Is(err, httpduty.ErrStalled):
		return &controlapi.Error{Reason: "overloaded", Step: "read", Message: err.Error()}
	}
	return &controlapi.Error{Reason: controlapi.ReasonBadRequest, Step: "decode", Message: err.Error()}
}

// Do executes op within the deadline that r states in its header.
func Do(r *http.Request, c Control, op controlapi.Operation, in, out any) error {
	deadline, err := deadlineOf(r)
	if err != nil {
		return err
	}
	if c == nil {
		return &controlapi.Error{Reason: controlapi.ReasonUnavailable, Step: string(op), Message: "this process has no control members"}
	}
	ctx, cancel := context.WithTimeout(r.Context(), deadline)
	defer cancel()
	return c.Do(ctx, op, in, out)
}

func deadlineOf(r *http.Request) (time.Duration, error) {
	text := r.Header.Get(headerDeadline)
	if text == "" {
		return defaultDeadline, nil
	}
	millis, err := strconv.ParseInt(text, 10, 64)
	deadline := time.Duration(millis) * time.Millisecond
	if err != nil || millis <= 0 || deadline > maxDeadline {
		return 0, &controlapi.Error{
			Reason: controlapi.ReasonBadRequest, Step: "deadline",
			Message: headerDeadline + " must be 1.." + strconv.FormatInt(maxDeadline.Milliseconds(), 10),
		}
	}
	return deadline, nil
}

// Serve executes op and writes its result or its error.
func Serve(w http.ResponseWriter, r *http.Request, c Control, op controlapi.Operation, in, out any) {
	if err := Do(r, c, op, in, out); err != nil {
		WriteError(w, op, err)
		return
	}
	Write(w, http.StatusOK, out)
}

// Write writes a JSON response.
func Write(w http.ResponseWriter, status int, v any) {
	var body bytes.Buffer
	encoder := json.NewEncoder(&body)
	encoder.SetEscapeHTML(false) // the response is never embedded in HTML
	if err := encoder.Encode(v); err != nil {
		http.Error(w, err.Error(), http.StatusInternalServerError)
		return
	}
	w.Header().Set("Content-Type", "application/json")
	w.Header().Set("Content-Length", strconv.Itoa(body.Len()))
	w.WriteHeader(status)
	_, _ = body.WriteTo(w)
}

// WriteError writes err as an ErrorBody. op is used as the step when err has
// none.
func WriteError(w http.ResponseWriter, op controlapi.Operation, err error) {
	e := Classify(err)
	if e.Step == "" {
		e.Step = string(op)
	}
	Write(w, StatusOf(e.Reason), ErrorBody{Error: e})
}

// Classify converts err to an API error. An unknown kind of error becomes
// "unavailable": the result of the operation is not known and the caller may
// retry.
func Classify(err error) controlapi.Error {
	var typed *controlapi.Error
	if errors.As(err, &typed) {
		return *typed
	}
	var refused *controlclient.RefusedError
	if errors.As(err, &refused) {
		return errorFromReason(refused.Reason)
	}
	if errors.Is(err, context.DeadlineExceeded) {
		return controlapi.Error{Reason: "deadline", Message: "no response from control before the deadline"}
	}
	return controlapi.Error{Reason: controlapi.ReasonUnavailable, Message: err.Error()}
}

// errorFromReason parses the reason of a refusal: one word, optionally followed
// by ": " and a message.
func errorFromReason(text string) controlapi.Error {
	reason, message, _ := strings.Cut(text, ": ")
	if reason == "" || strings.ContainsAny(reason, " =") {
		return controlapi.Error{Reason: "refused", Message: text}
	}
	return controlapi.Error{Reason: reason, Message: message}
}

// StatusOf maps a reason to the HTTP status that docs/api.md documents. Reasons
// that are not listed here come from the state machine and map to 409.
func StatusOf(reason string) int {
	switch reason {
	case controlapi.ReasonBadRequest:
		return http.StatusBadRequest
	case controlapi.ReasonNotAllowed, "unknown_customer":
		return http.StatusForbidden
	case controlapi.ReasonNotFound:
		return http.StatusNotFound
	case "too_large":
		return http.StatusRequestEntityTooLarge
	case "over_limit":
		return http.StatusTooManyRequests
	case controlapi.ReasonUnavailable, "no_quorum", "overloaded", "draining":
		return http.StatusServiceUnavailable
	case "deadline":
		return http.StatusGatewayTimeout
	default:
		return http.StatusConflict
	}
}
