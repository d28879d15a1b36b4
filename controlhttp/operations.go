// Package controlhttp carries out operations of control for HTTP handlers and
// encodes their results as JSON. The operators' and the callers' interfaces
// share it.
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
)

// Control carries out operations of control.
type Control interface {
	Do(ctx context.Context, op controlapi.Operation, in, out any) error
}

const (
	// maxBodyBytes bounds the JSON of a request: both lists for several thousand
	// customers fit.
	maxBodyBytes    = 4 << 20
	headerDeadline  = "Ibispier-Deadline-Ms"
	defaultDeadline = 5 * time.Second
	maxDeadline     = time.Minute
)

// ErrorBody is the JSON body of every answer that is not a success.
type ErrorBody struct {
	Error controlapi.Error `json:"error"`
}

// Read decodes the JSON body of r into v. Unknown fields are refused, because a
// misspelt limit would otherwise silently become none.
func Read(w http.ResponseWriter, r *http.Request, v any) error {
	decoder := json.NewDecoder(http.MaxBytesReader(w, r.Body, maxBodyBytes))
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
	var tooLarge *http.MaxBytesError
	if errors.As(err, &tooLarge) {
		return &controlapi.Error{Reason: "too_large", Step: "read", Message: err.Error()}
	}
	return &controlapi.Error{Reason: controlapi.ReasonBadRequest, Step: "decode", Message: err.Error()}
}

// Do carries out op within the deadline of r.
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

// Serve carries out op and writes its result with the status code on success.
func Serve(w http.ResponseWriter, r *http.Request, c Control, op controlapi.Operation, in, out any) {
	if err := Do(r, c, op, in, out); err != nil {
		WriteError(w, op, err)
		return
	}
	Write(w, http.StatusOK, out)
}

// Write writes v as JSON.
func Write(w http.ResponseWriter, status int, v any) {
	var body bytes.Buffer
	encoder := json.NewEncoder(&body)
	encoder.SetEscapeHTML(false) // nothing embeds the answer in HTML
	if err := encoder.Encode(v); err != nil {
		http.Error(w, err.Error(), http.StatusInternalServerError)
		return
	}
	w.Header().Set("Content-Type", "application/json")
	w.Header().Set("Content-Length", strconv.Itoa(body.Len()))
	w.WriteHeader(status)
	_, _ = body.WriteTo(w)
}

// WriteError writes err as a typed JSON error. op names the step when err does
// not.
func WriteError(w http.ResponseWriter, op controlapi.Operation, err error) {
	e := Classify(err)
	if e.Step == "" {
		e.Step = string(op)
	}
	Write(w, StatusOf(e.Reason), ErrorBody{Error: e})
}

// Classify returns the typed form of err. An error without a type is
// unavailable: the result of the operation is not known, and it can be sent
// again.
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
		return controlapi.Error{Reason: "deadline", Message: "no answer from control before the deadline"}
	}
	return controlapi.Error{Reason: controlapi.ReasonUnavailable, Message: err.Error()}
}

// errorFromReason splits the reason of a refusal, which is a word that can be
// followed by a colon and a message.
func errorFromReason(text string) controlapi.Error {
	reason, message, _ := strings.Cut(text, ": ")
	if reason == "" || strings.ContainsAny(reason, " =") {
		return controlapi.Error{Reason: "refused", Message: text}
	}
	return controlapi.Error{Reason: reason, Message: message}
}

// StatusOf maps a reason to the HTTP status that docs/api.md documents. Unlisted
// reasons are refusals by the state machine.
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
