package keys

import (
	"crypto/ed25519"
	"encoding/base64"
	"os"
	"path/filepath"
	"testing"
)

// Guards against a key file that cannot be loaded, that other users can read, or
// that overwrites an existing key.
func TestKeyFile(t *testing.T) {
	path := filepath.Join(t.TempDir(), "ada.key")
	public, err := Generate(path)
	if err != nil {
		t.Fatal(err)
	}
	if info, err := os.Stat(path); err != nil || info.Mode().Perm() != 0o600 {
		t.Errorf("mode %v, error %v", info.Mode(), err)
	}
	if _, err := Generate(path); err == nil {
		t.Error("an existing key was overwritten")
	}
	key, err := Load(path)
	if err != nil {
		t.Fatal(err)
	}
	raw, _ := base64.StdEncoding.DecodeString(public)
	if !ed25519.Verify(raw, []byte("digest"), ed25519.Sign(key, []byte("digest"))) {
		t.Error("the public key does not match the private key")
	}
	if err := os.Chmod(path, 0o644); err != nil {
		t.Fatal(err)
	}
	if _, err := Load(path); err == nil {
		t.Error("a key file that other users can read was accepted")
	}
}
