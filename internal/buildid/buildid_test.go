package buildid

import (
	"encoding/binary"
	"os"
	"os/exec"
	"path/filepath"
	"strings"
	"testing"
)

// TestProgramsOfDifferentCodeHaveDifferentIDs guards against processes of an older build that cannot be told from
// those of the current one: their binaries carried no revision, and nothing else identified them.
func TestProgramsOfDifferentCodeHaveDifferentIDs(t *testing.T) {
	dir := t.TempDir()
	build := func(name, code string) string {
		t.Helper()
		source, program := filepath.Join(dir, name+".go"), filepath.Join(dir, name)
		if err := os.WriteFile(source, []byte("package main\nfunc main() { println("+code+") }\n"), 0o600); err != nil {
			t.Fatal(err)
		}
		if out, err := exec.Command("go", "build", "-buildvcs=false", "-trimpath", "-o", program, source).CombinedOutput(); err != nil {
			t.Fatalf("%v: %s", err, out)
		}
		return program
	}
	first, second := build("first", "1"), build("second", "2")
	if Of(first) == Unknown || Of(first) == Of(second) {
		t.Errorf("programs of different code have the ids %q and %q", Of(first), Of(second))
	}
	shown, err := exec.Command("go", "tool", "buildid", first).Output()
	if err != nil {
		t.Fatal(err)
	}
	if !strings.HasSuffix(strings.TrimSpace(string(shown)), "/"+Of(first)) {
		t.Errorf("%q is not the end of %q", Of(first), shown)
	}
}

// TestUnreadableProgramIsUnknown guards against a process that does not start because its file cannot be identified.
func TestUnreadableProgramIsUnknown(t *testing.T) {
	text := filepath.Join(t.TempDir(), "text")
	if err := os.WriteFile(text, []byte("no program"), 0o600); err != nil {
		t.Fatal(err)
	}
	for _, path := range []string{text, text + "-that-is-not-there"} {
		if got := Of(path); got != Unknown {
			t.Errorf("%s has the id %q", path, got)
		}
	}
	for _, note := range []string{"", "short", "\xff\xff\xff\xff\xff\xff\xff\xff\x00\x00\x00\x00Go\x00\x00"} {
		if got := contentID(noteDescription([]byte(note), binary.LittleEndian)); got != Unknown {
			t.Errorf("note %q has the id %q", note, got)
		}
	}
}
