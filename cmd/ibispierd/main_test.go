package main

import (
	"os"
	"path/filepath"
	"strings"
	"testing"

	"github.com/ibispier/ibispier/internal/testcluster"
)

func TestMain(m *testing.M) {
	code := m.Run()
	testcluster.RemoveBinaries()
	os.Exit(code)
}

// Guards against a process that starts with invalid settings, exits with a code
// other than 2, or creates its data folder.
func TestRefusedSettingsStartNothing(t *testing.T) {
	data := filepath.Join(t.TempDir(), "data")
	valid := "[daemon]\nid = c1\nroles = control\nzone = a\ndata = " + data + "\n[cluster]\ncontrol = c1@127.0.0.1:7071\n"
	tests := []struct {
		name string
		args []string
		code int
		want string
	}{
		{"unknown key", []string{"-config", writeSettings(t, valid+"[log]\nlevle = info\n")}, 2, "section=log key=levle"},
		{"missing file", []string{"-config", filepath.Join(t.TempDir(), "none.ini")}, 2, "none.ini"},
		{"no file", nil, 2, "-config"},
		{"file and -dev", []string{"-dev", "-config", "x.ini"}, 2, "-config"},
		{"-dev and -check", []string{"-dev", "-check"}, 2, "-config"},
		{"check", []string{"-check", "-config", writeSettings(t, valid)}, 0, "id = c1\n"},
	}
	for _, test := range tests {
		p := testcluster.StartProcess(t, test.name, "ibispierd", test.args...)
		code, output := p.Wait(), p.Output()
		if code != test.code || !strings.Contains(output, test.want) {
			t.Errorf("%s: exit code %d, output %q", test.name, code, output)
		}
		if lines := strings.Count(output, "\n"); test.code != 0 && lines != 1 {
			t.Errorf("%s: %d lines", test.name, lines)
		}
	}
	if _, err := os.Stat(data); !os.IsNotExist(err) {
		t.Errorf("the data folder exists: %v", err)
	}
}

func writeSettings(t *testing.T, text string) string {
	t.Helper()
	path := filepath.Join(t.TempDir(), "settings.ini")
	if err := os.WriteFile(path, []byte(text), 0o600); err != nil {
		t.Fatal(err)
	}
	return path
}
