// Package keys generates and loads the Ed25519 keys that owners sign changes with.
package keys

import (
	"crypto/ed25519"
	"crypto/rand"
	"crypto/x509"
	"encoding/base64"
	"encoding/pem"
	"os"

	"github.com/zeebo/errs"
)

// Error is the class of all errors of this package.
var Error = errs.Class("keys")

const (
	fileMode = 0o600
	pemType  = "PRIVATE KEY"
)

// Generate writes a new private key to path, which must not exist, and returns
// the public key in base64.
func Generate(path string) (string, error) {
	public, private, err := ed25519.GenerateKey(rand.Reader)
	if err != nil {
		return "", Error.Wrap(err)
	}
	der, err := x509.MarshalPKCS8PrivateKey(private)
	if err != nil {
		return "", Error.Wrap(err)
	}
	file, err := os.OpenFile(path, os.O_WRONLY|os.O_CREATE|os.O_EXCL, fileMode)
	if err != nil {
		return "", Error.Wrap(err)
	}
	err = pem.Encode(file, &pem.Block{Type: pemType, Bytes: der})
	if err := errs.Combine(err, file.Sync(), file.Close()); err != nil {
		return "", Error.Wrap(err)
	}
	return base64.StdEncoding.EncodeToString(public), nil
}

// Load reads a private key. It rejects a file that other users can access.
func Load(path string) (ed25519.PrivateKey, error) {
	info, err := os.Stat(path)
	if err != nil {
		return nil, Error.Wrap(err)
	}
	if info.Mode().Perm()&0o077 != 0 {
		return nil, Error.New("file=%s: mode %04o gives other users access to the key; want %04o", path, info.Mode().Perm(), fileMode)
	}
	data, err := os.ReadFile(path)
	if err != nil {
		return nil, Error.Wrap(err)
	}
	block, _ := pem.Decode(data)
	if block == nil || block.Type != pemType {
		return nil, Error.New("file=%s: no PEM block %q", path, pemType)
	}
	parsed, err := x509.ParsePKCS8PrivateKey(block.Bytes)
	if err != nil {
		return nil, Error.New("file=%s: %w", path, err)
	}
	key, ok := parsed.(ed25519.PrivateKey)
	if !ok {
		return nil, Error.New("file=%s: not an Ed25519 key", path)
	}
	return key, nil
}
