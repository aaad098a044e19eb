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

// readers are the folders whose code reads an entry's settings.
var readers = []string{".", "../logs"}

// TestEverySettingIsRead finds the fields that are documented but that no code asks for.
func TestEverySettingIsRead(t *testing.T) {
	read := map[string]bool{}
	for _, dir := range readers {
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
					read[selected(s)] = true
				}
				return true
			})
		}
	}
	for _, f := range setup.Fields(setup.DefaultEntry()) {
		// The logger is given its own part of the settings.
		own := "settings." + strings.TrimPrefix(f.Path, "Log.")
		assert.Check(t, read["settings."+f.Path] || read[own], f.Path)
	}
}

// selected writes a selector from the name settings on, such as settings.Timing.PollMs.
func selected(s *ast.SelectorExpr) string {
	switch x := s.X.(type) {
	case *ast.Ident:
		return x.Name + "." + s.Sel.Name
	case *ast.SelectorExpr:
		if x.Sel.Name == "settings" {
			return "settings." + s.Sel.Name
		}
		return selected(x) + "." + s.Sel.Name
	}
	return ""
}
