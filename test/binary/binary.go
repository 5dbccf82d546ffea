// Package binary builds the ebonywood binary for tests that run it as separate
// processes.
package binary

import (
	"os"
	"os/exec"
	"path/filepath"
	"testing"

	// Imported so that the test cache depends on the sources of the binary.
	_ "github.com/ebonywood/ebonywood/internal/command"
)

// Path is the file name of the binary. It is set by Run and valid until Run returns.
var Path string

// Run builds the binary in a temporary directory, runs the tests and returns their exit
// code. It must be called in a package two folders below the module root, and panics if
// the build fails.
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
