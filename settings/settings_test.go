package settings

import (
	"bytes"
	"flag"
	"os"
	"path/filepath"
	"reflect"
	"strings"
	"testing"
)

var update = flag.Bool("update", false, "write docs/settings.md")

const validSettings = "[daemon]\nid = e1\nroles = entry\nzone = a\n"

// Guards against a mistake in a settings file that is ignored or is reported
// without file, section and key.
func TestMistakesAreReportedInOneLine(t *testing.T) {
	tests := []struct{ name, text, want string }{
		{"unknown section", validSettings + "[entri]\n", "section=entri: unknown section"},
		{"unknown key", validSettings + "[entry]\nlisten_on = x\n", "section=entry key=listen_on: unknown key"},
		{"key without section", "id = e1\n" + validSettings, "key=id: unknown key"},
		{"bad number", validSettings + "[entry]\nmax_body = lots\n", `section=entry key=max_body: "lots" is not a whole number`},
		{"out of range", validSettings + "[entry]\nmax_body = 0\n", "section=entry key=max_body: 0 is outside 1..4194304"},
		{"no unit", validSettings + "[control]\ntick = 50\n", "section=control key=tick"},
		{"duration out of range", validSettings + "[permit]\nttl = 1h\n", "section=permit key=ttl: 1h0m0s is outside 100ms..3s"},
		{"not a number", validSettings + "[trace]\nratio = NaN\n", "section=trace key=ratio"},
		{"host name", validSettings + "[entry]\nlisten = localhost:80\n", "section=entry key=listen"},
		{"bad choice", validSettings + "[log]\nlevel = loud\n", "section=log key=level"},
		{"bad role", strings.Replace(validSettings, "entry", "chief", 1), "section=daemon key=roles"},
		{"no id", strings.Replace(validSettings, "id = e1", "", 1), "section=daemon key=id: missing"},
		{"no zone", strings.Replace(validSettings, "zone = a", "", 1), "section=daemon key=zone: missing"},
		{"agent without entries", strings.Replace(validSettings, "entry", "agent", 1), "section=cluster key=entries: missing"},
		{"copies without jobs", validSettings + "\n[jobs]\ncopies = true\n", "section=jobs key=enabled: missing"},
		{"stranger", strings.Replace(validSettings, "entry", "control", 1) + "[cluster]\ncontrol = c2@127.0.0.1:1\n", "section=cluster key=control"},
		{"member twice", validSettings + "[cluster]\ncontrol = c2@127.0.0.1:1, c2@127.0.0.1:2\n", "section=cluster key=control"},
		{"several lines", validSettings + "[agent]\nservice = \"\"\"a\nb\"\"\"\n", "section=agent key=service: \"a\\nb\" has several lines"},
		{"refusing in another order", strings.Replace(validSettings, "entry", "control", 1) + "[cluster]\ncontrol = e1@127.0.0.1:1\n[platform]\ncontrol = 127.0.0.1:2\n[jobs]\nenabled = true\nrefuse_hopeless = true\npostpone_large = true\n", "section=jobs key=refuse_hopeless"},
		{"refusing without jobs", strings.Replace(validSettings, "entry", "control", 1) + "[cluster]\ncontrol = e1@127.0.0.1:1\n[jobs]\nrefuse_hopeless = true\n", "section=jobs key=refuse_hopeless"},
		{"no value", validSettings + "[entry]\nnonsense\n", "nonsense"},
	}
	for _, test := range tests {
		path := filepath.Join(t.TempDir(), "x.ini")
		if err := os.WriteFile(path, []byte(test.text), 0o600); err != nil {
			t.Fatal(err)
		}
		_, err := Load(path)
		if err == nil || !strings.Contains(err.Error(), test.want) || !strings.Contains(err.Error(), "file="+path) || strings.Contains(err.Error(), "\n") {
			t.Errorf("%s: error %v, want %q", test.name, err, test.want)
		}
	}
	if _, err := Load("none.ini"); err == nil || !strings.Contains(err.Error(), "file=none.ini") {
		t.Errorf("missing file: error %v", err)
	}
}

// Guards against effective settings that ibispierd -check prints in a form that
// cannot be read back.
func TestWriteAndParseAreInverse(t *testing.T) {
	want, err := Parse("x.ini", []byte(validSettings+"[cluster]\ncontrol = c1@127.0.0.1:1, c2@[::1]:2\nentries = 127.0.0.1:3\n[trace]\nratio = 0.25\n[routing]\nhedging = false\n"))
	if err != nil {
		t.Fatal(err)
	}
	var b bytes.Buffer
	if err := want.Write(&b); err != nil {
		t.Fatal(err)
	}
	got, err := Parse("x.ini", b.Bytes())
	if err != nil || !reflect.DeepEqual(got, want) {
		t.Errorf("got %+v, error %v, want %+v", got, err, want)
	}
}

// Guards against a settings page that differs from the code. Run with -update
// after a change of a setting.
func TestSettingsPageMatchesTheCode(t *testing.T) {
	const path = "../docs/settings.md"
	want := Page()
	if *update {
		if err := os.WriteFile(path, []byte(want), 0o644); err != nil {
			t.Fatal(err)
		}
	}
	got, err := os.ReadFile(path)
	if err != nil || string(got) != want {
		t.Errorf("%s does not match the code, error %v; run go test ./settings -update", path, err)
	}
}

// Guards against examples that do not load.
func TestExamplesLoad(t *testing.T) {
	paths, err := filepath.Glob("../examples/*/*.ini")
	if err != nil || len(paths) == 0 {
		t.Fatalf("no examples: %v", err)
	}
	for _, path := range paths {
		switch filepath.Base(path) {
		case "lists.ini", "owners.ini": // not a settings file; read by package cli/lists
			continue
		}
		if _, err := Load(path); err != nil {
			t.Error(err)
		}
	}
}

// FuzzParse guards against a settings file that crashes the process, and
// against accepted settings that cannot be printed and read again.
func FuzzParse(f *testing.F) {
	f.Add([]byte(validSettings))
	f.Add([]byte("[cluster]\ncontrol = a@127.0.0.1:1\n"))
	f.Add([]byte("[trace]\nratio = NaN\n"))
	f.Add([]byte("[daemon]\nid = \"\"\"a\nb\"\"\"\n"))
	f.Add([]byte("[daemon]\nid = %(id)s\n"))
	f.Add([]byte("\xef\xbb\xbf[daemon]\nid = a\\\n"))
	f.Fuzz(func(t *testing.T, data []byte) {
		s, err := Parse("fuzz.ini", data)
		if err != nil {
			if strings.Contains(err.Error(), "\n") {
				t.Errorf("error of several lines: %q", err)
			}
			return
		}
		if s.Entry.MaxBodyBytes < 1 || s.Trace.SampleRatio < 0 || s.Trace.SampleRatio > 1 || s.Control.ElectionTicks < 4 {
			t.Errorf("accepted settings outside their ranges: %+v", s)
		}
		var b bytes.Buffer
		if err := s.Write(&b); err != nil {
			t.Fatal(err)
		}
		if _, err := Parse("fuzz.ini", b.Bytes()); err != nil {
			t.Errorf("printed settings are refused: %v\n%s", err, &b)
		}
	})
}
