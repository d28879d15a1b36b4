package main

import (
	"bytes"
	"errors"
	"os"
	"os/exec"
	"path/filepath"
	"strings"
	"testing"

	"github.com/ibispier/ibispier/internal/testproc"
)

// Guards against a process that starts with settings it should refuse, ends
// with another exit code than 2, or leaves a data folder behind.
func TestRefusedSettingsStartNothing(t *testing.T) {
	bin, err := testproc.Build("ibispierd")
	defer os.RemoveAll(bin)
	if err != nil {
		t.Fatal(err)
	}
	data := filepath.Join(t.TempDir(), "data")
	good := "[daemon]\nid = c1\nroles = control\nzone = a\ndata = " + data + "\n[cluster]\ncontrol = c1@127.0.0.1:7071\n"
	tests := []struct {
		name string
		args []string
		code int
		want string
	}{
		{"unknown key", []string{"-config", testproc.Settings(t, good, "[log]\nlevle = info")}, 2, "section=log key=levle"},
		{"missing file", []string{"-config", filepath.Join(t.TempDir(), "none.ini")}, 2, "none.ini"},
		{"no file", nil, 2, "-config"},
		{"file and -dev", []string{"-dev", "-config", "x.ini"}, 2, "-config"},
		{"-dev and -check", []string{"-dev", "-check"}, 2, "-config"},
		{"check", []string{"-check", "-config", testproc.Settings(t, good)}, 0, ""},
	}
	for _, test := range tests {
		cmd := exec.Command(filepath.Join(bin, "ibispierd"), test.args...)
		var out, errOut bytes.Buffer
		cmd.Stdout, cmd.Stderr = &out, &errOut
		err := cmd.Run()
		var exit *exec.ExitError
		if err != nil && !errors.As(err, &exit) {
			t.Fatal(err)
		}
		if code := cmd.ProcessState.ExitCode(); code != test.code || !strings.Contains(errOut.String(), test.want) {
			t.Errorf("%s: exit code %d, stderr %q", test.name, code, errOut.String())
		}
		if lines := strings.Count(errOut.String(), "\n"); test.code != 0 && lines != 1 {
			t.Errorf("%s: %d lines on stderr", test.name, lines)
		}
		if test.code == 0 && !strings.Contains(out.String(), "id = c1\n") {
			t.Errorf("%s: printed %q", test.name, out.String())
		}
	}
	if _, err := os.Stat(data); !os.IsNotExist(err) {
		t.Errorf("the data folder was made: %v", err)
	}
}
