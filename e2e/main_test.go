package e2e

import (
	"fmt"
	"io/fs"
	"os"
	"os/exec"
	"path/filepath"
	"sync"
	"testing"
)

// binDir holds the programs under test.
var binDir string

func TestMain(m *testing.M) {
	os.Exit(runTests(m))
}

// runTests builds the programs once for all tests.
func runTests(m *testing.M) int {
	dir, err := os.MkdirTemp("", "mulberryscale-e2e-")
	if err != nil {
		fmt.Fprintln(os.Stderr, "e2e:", err)
		return 1
	}
	defer os.RemoveAll(dir)
	binDir = dir
	build := exec.Command("go", "build", "-o", dir+string(filepath.Separator),
		"mulberryscale.example/cmd/mulberry-entry",
		"mulberryscale.example/cmd/mulberry-agent",
		"mulberryscale.example/cmd/mulberry-standin",
		"mulberryscale.example/cmd/mulberry-node",
		"mulberryscale.example/cmd/mulberryctl")
	if out, err := build.CombinedOutput(); err != nil {
		fmt.Fprintf(os.Stderr, "e2e: building the programs: %v\n%s", err, out)
		return 1
	}
	return m.Run()
}

// statSources stats the sources of the programs once per test run, so that the go
// command's cached test results depend on them.
var statSources = sync.OnceValue(func() error {
	return filepath.WalkDir("..", func(path string, entry fs.DirEntry, err error) error {
		if err != nil || entry.IsDir() && path != ".." && entry.Name()[0] == '.' {
			return fs.SkipDir // .git, and directories that were removed meanwhile
		}
		switch filepath.Ext(path) {
		case ".go", ".yaml", ".mod":
			_, err = os.Stat(path)
			return err
		}
		return nil
	})
})
