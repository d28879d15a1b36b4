// Package codec encodes the commands of package state for the log and its images
// for snapshots.
//
// An encoded command is a header of fixed size with the version, kind, id and
// clock reading, followed by the body as JSON. An encoded image is a version byte
// followed by gob.
package codec

import (
	"bytes"
	"encoding/binary"
	"encoding/gob"
	"encoding/json"
	"time"

	"github.com/zeebo/errs"

	"github.com/ibispier/ibispier/controlapi"
	"github.com/ibispier/ibispier/state"
)

// Error is the class of all errors of this package.
var Error = errs.Class("codec")

// Version is the version of both encodings.
const Version = 1

const headerBytes = 2 + 3*8

// commandKind identifies the type of the body of a command. The values are stored
// in the log and must not change.
type commandKind byte

const (
	kindClaim commandKind = iota + 1
	kindResolve
	kindPropose
	kindSign
	kindSubmit
	kindCancel
	kindPlace
	kindReport
	kindExpire
	kindEvict
	kindQuarantine
)

// EncodeCommand returns the log entry of a command.
func EncodeCommand(c *state.Command) ([]byte, error) {
	k, body := bodyOf(c)
	if k == 0 {
		return nil, Error.New("empty command: no operation is set")
	}
	encodedBody, err := json.Marshal(body)
	if err != nil {
		return nil, Error.Wrap(err)
	}
	b := make([]byte, 0, headerBytes+len(encodedBody))
	b = append(b, Version, byte(k))
	b = binary.BigEndian.AppendUint64(b, c.ID.Origin)
	b = binary.BigEndian.AppendUint64(b, c.ID.Sequence)
	b = binary.BigEndian.AppendUint64(b, uint64(c.Now.UnixNano()))
	return append(b, encodedBody...), nil
}

func bodyOf(c *state.Command) (commandKind, any) {
	switch {
	case c.Claim != nil:
		return kindClaim, c.Claim
	case c.Resolve != nil:
		return kindResolve, c.Resolve
	case c.Propose != nil:
		return kindPropose, c.Propose
	case c.Sign != nil:
		return kindSign, c.Sign
	case c.Submit != nil:
		return kindSubmit, c.Submit
	case c.Cancel != nil:
		return kindCancel, c.Cancel
	case c.Place != nil:
		return kindPlace, c.Place
	case c.Report != nil:
		return kindReport, c.Report
	case c.Expire != nil:
		return kindExpire, c.Expire
	case c.Evict != nil:
		return kindEvict, c.Evict
	case c.Quarantine != nil:
		return kindQuarantine, c.Quarantine
	}
	return 0, nil
}

// DecodeCommand decodes a log entry.
func DecodeCommand(b []byte) (*state.Command, error) {
	if len(b) < headerBytes || b[0] != Version {
		return nil, Error.New("a log entry of %d bytes is not a command of encoding version %d", len(b), Version)
	}
	c := &state.Command{
		ID:  state.CommandID{Origin: binary.BigEndian.Uint64(b[2:]), Sequence: binary.BigEndian.Uint64(b[10:])},
		Now: time.Unix(0, int64(binary.BigEndian.Uint64(b[18:]))),
	}
	encodedBody := b[headerBytes:]
	var err error
	switch commandKind(b[1]) {
	case kindClaim:
		c.Claim, err = decodeBody[controlapi.ClaimRequest](encodedBody)
	case kindResolve:
		c.Resolve, err = decodeBody[controlapi.ResolveRequest](encodedBody)
	case kindPropose:
		c.Propose, err = decodeBody[state.Propose](encodedBody)
	case kindSign:
		c.Sign, err = decodeBody[state.Sign](encodedBody)
	case kindSubmit:
		c.Submit, err = decodeBody[controlapi.Task](encodedBody)
	case kindCancel:
		c.Cancel, err = decodeBody[controlapi.TaskQuery](encodedBody)
	case kindPlace:
		c.Place, err = decodeBody[state.Place](encodedBody)
	case kindReport:
		c.Report, err = decodeBody[state.Report](encodedBody)
	case kindExpire:
		c.Expire, err = decodeBody[state.Expire](encodedBody)
	case kindEvict:
		c.Evict, err = decodeBody[state.Evict](encodedBody)
	case kindQuarantine:
		c.Quarantine, err = decodeBody[state.Quarantine](encodedBody)
	default:
		err = Error.New("unknown command kind %d", b[1])
	}
	return c, err
}

func decodeBody[T any](encodedBody []byte) (*T, error) {
	body := new(T)
	if err := json.Unmarshal(encodedBody, body); err != nil {
		return nil, Error.Wrap(err)
	}
	return body, nil
}

// EncodeImage returns the content of a snapshot with an image.
func EncodeImage(img state.Image) ([]byte, error) {
	var b bytes.Buffer
	b.WriteByte(Version)
	if err := gob.NewEncoder(&b).Encode(img); err != nil {
		return nil, Error.Wrap(err)
	}
	return b.Bytes(), nil
}

// DecodeImage decodes the content of a snapshot.
func DecodeImage(b []byte) (state.Image, error) {
	var img state.Image
	if len(b) == 0 || b[0] != Version {
		return img, Error.New("a snapshot of %d bytes does not have encoding version %d", len(b), Version)
	}
	if err := gob.NewDecoder(bytes.NewReader(b[1:])).Decode(&img); err != nil {
		return img, Error.Wrap(err)
	}
	return img, nil
}
