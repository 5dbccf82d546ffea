// Package binary builds the program for tests that run it as processes of its own.
package binary

import (
	"os"
	"os/exec"
	"path/filepath"
	"testing"

	// The test cache has to know what the binary is built from.
	_ "github.com/ebonywood/ebonywood/internal/command"
)

// Path is where the program lies while Run runs.
var Path string

// Run builds the program, runs the tests of a package two folders below the root, and
// returns their exit code.
func Run(m *testing.M) int {
	dir, err := os.MkdirTemp("", "ebonywood")
	if err != nil {
		panic(err)
	}
	defer func() { _ = os.RemoveAll(dir) }()
	Path = filepath.Join(dir, "ebonywood")
	build := exec.Command("go", "build", "-o", Path, "../../cmd/ebonywood")
	build.Stderr = os.Stderr
	if err := build.Run(); err != nil {
		panic(err)
	}
	return m.Run()
}
