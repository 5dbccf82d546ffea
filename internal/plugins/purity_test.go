package plugins

import (
	"go/ast"
	"go/parser"
	"go/token"
	"path/filepath"
	"strings"
	"testing"

	"github.com/stretchr/testify/require"
)

// decisionPackages are the packages of pure control logic. Another front end, or a
// test with its own clock, must be able to drive them.
var decisionPackages = []string{
	"../decision/*", "../router", "../session", "../retry", "../confirmation", "../queue", "../cost", "../rendezvous",
	"../tokenbucket", "../tokenstock", "../lending", "../throttle",
}

// allowedImports are the imports that decisions may use, besides internal/rendezvous.
var allowedImports = map[string]bool{
	"maps": true, "slices": true, "strings": true, "time": true, "math/bits": true, "math/rand/v2": true,
	"github.com/cespare/xxhash/v2":                     true,
	"github.com/ebonywood/ebonywood":                   true,
	"github.com/ebonywood/ebonywood/internal/registry": true,
}

// wallClock are the names in package time that read the clock or wait for it.
var wallClock = map[string]bool{
	"Now": true, "Since": true, "Until": true, "Sleep": true, "After": true, "AfterFunc": true, "NewTimer": true,
	"NewTicker": true, "Tick": true,
}

// TestDecisionsArePure checks that decisions import no package for encoding or
// sockets and do not use the wall clock.
func TestDecisionsArePure(t *testing.T) {
	checked := 0
	for _, pattern := range decisionPackages {
		files, err := filepath.Glob(pattern + "/*.go")
		require.NoError(t, err)
		for _, file := range files {
			if !strings.HasSuffix(file, "_test.go") {
				checkFile(t, file)
				checked++
			}
		}
	}
	require.Greater(t, checked, 10)
}

func checkFile(t *testing.T, file string) {
	parsed, err := parser.ParseFile(token.NewFileSet(), file, nil, 0)
	require.NoError(t, err)
	for _, spec := range parsed.Imports {
		path := strings.Trim(spec.Path.Value, `"`)
		isRendezvous := strings.HasPrefix(path, "github.com/ebonywood/ebonywood/internal/rendezvous")
		require.True(t, allowedImports[path] || isRendezvous, "%s imports %s", file, path)
	}
	ast.Inspect(parsed, func(node ast.Node) bool {
		selector, ok := node.(*ast.SelectorExpr)
		if !ok {
			return true
		}
		if name, ok := selector.X.(*ast.Ident); ok && name.Name == "time" {
			require.False(t, wallClock[selector.Sel.Name], "%s uses time.%s", file, selector.Sel.Name)
		}
		return true
	})
}
