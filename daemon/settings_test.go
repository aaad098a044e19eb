package daemon

import (
	"go/ast"
	"go/parser"
	"go/token"
	"path/filepath"
	"strings"
	"testing"

	"gotest.tools/v3/assert"

	"waxwing.example/croft/setup"
)

// settingsReaders are the folders whose code reads an entry's settings, relative to this one.
var settingsReaders = []string{".", "../logs"}

// TestEverySettingIsRead fails for a setting that can be given but that no code reads, so that it has no effect.
func TestEverySettingIsRead(t *testing.T) {
	read := map[string]bool{}
	for _, dir := range settingsReaders {
		files, err := filepath.Glob(dir + "/*.go")
		assert.NilError(t, err)
		for _, f := range files {
			if strings.HasSuffix(f, "_test.go") {
				continue
			}
			tree, err := parser.ParseFile(token.NewFileSet(), f, nil, 0)
			assert.NilError(t, err)
			ast.Inspect(tree, func(n ast.Node) bool {
				if s, ok := n.(*ast.SelectorExpr); ok {
					read[settingsPath(s)] = true
				}
				return true
			})
		}
	}
	for _, f := range setup.Fields(setup.DefaultEntry()) {
		// Package logs receives only the Log section of the settings.
		pathInLogs := "settings." + strings.TrimPrefix(f.Path, "Log.")
		assert.Check(t, read["settings."+f.Path] || read[pathInLogs], f.Path)
	}
}

// settingsPath returns the part of a selector that starts at the name settings, such as settings.Timing.PollMs.
func settingsPath(s *ast.SelectorExpr) string {
	switch x := s.X.(type) {
	case *ast.Ident:
		return x.Name + "." + s.Sel.Name
	case *ast.SelectorExpr:
		if x.Sel.Name == "settings" {
			return "settings." + s.Sel.Name
		}
		return settingsPath(x) + "." + s.Sel.Name
	}
	return ""
}
