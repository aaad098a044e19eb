package scen

import (
	"fmt"
	"maps"
	"os"
	"path/filepath"
	"regexp"
	"strings"
	"testing"

	"github.com/rogpeppe/go-internal/testscript"
	"gotest.tools/v3/assert"
)

// preamble sets what the pages leave to the reader; entry.json and wax.json are files of README.md.
const preamble = `# The commands of the pages, with the scenario's own network in place of 127.0.0.1.
env ENTRY=$NET.1.1:7400
env OPERATORS=$NET.1.1:7401
env TOKEN=operators-token-0001
env GORACE=atexit_sleep_ms=10
localize entry.json wax.json
`

// pages are read in this order, each in the world that the ones before it set up.
var pages = []string{"../README.md", "../docs/CALLERS.md", "../docs/OPERATIONS.md"}

// ciRuns matches the commands of the pages that CI runs by itself.
var ciRuns = regexp.MustCompile(`^(go run \./wax demo|\.ci/test)$`)

// TestDocs runs each command of the pages against real processes and looks for the output that they show.
func TestDocs(t *testing.T) {
	script := filepath.Join(t.TempDir(), "docs.txtar")
	assert.NilError(t, os.WriteFile(script, []byte(docsScript(t)), 0o600))
	p := params(t, "*.txtar")
	p.Files = []string{script}
	p.Cmds = maps.Clone(p.Cmds)
	p.Cmds["localize"] = localizeCmd
	testscript.Run(t, p)
}

// localizeCmd has files name the scenario's own network in place of 127.0.0.1: localize FILE...
func localizeCmd(ts *testscript.TestScript, _ bool, args []string) {
	for _, name := range args {
		text := strings.ReplaceAll(ts.ReadFile(name), "127.0.0.1:", ts.Getenv("NET")+".1.1:")
		ts.Check(os.WriteFile(ts.MkAbs(name), []byte(text), 0o600))
	}
}

// docsScript is the scenario that the fences of the pages make, after the preamble.
func docsScript(t *testing.T) string {
	t.Helper()
	script := preamble
	files := recordedLogs(t)
	for _, page := range pages {
		script += "\n# " + page + "\n"
		list := fences(t, page)
		for i, f := range list {
			switch f.language {
			case "jsonc":
				name, body := f.file(t)
				files += "-- " + name + " --\n" + body
			case "sh":
				shown := ""
				if i+1 < len(list) && list[i+1].language == "text" {
					shown = list[i+1].body
				}
				script += f.commands(t, shown)
			}
		}
	}
	return script + files
}

// recordedLogs are the logs that OPERATIONS.md tells the stories of.
func recordedLogs(t *testing.T) string {
	t.Helper()
	names, err := filepath.Glob("../verbs/testdata/why/*.log")
	assert.NilError(t, err)
	files := ""
	for _, name := range names {
		body, err := os.ReadFile(name)
		assert.NilError(t, err)
		files += "-- " + strings.TrimPrefix(name, "../") + " --\n" + string(body)
	}
	return files
}

// fence is one fenced block of a page.
type fence struct{ language, body string }

var fenced = regexp.MustCompile("(?ms)^```(\\w+)\n(.*?)^```$")

func fences(t *testing.T, page string) []fence {
	t.Helper()
	text, err := os.ReadFile(page)
	assert.NilError(t, err)
	var list []fence
	for _, m := range fenced.FindAllStringSubmatch(string(text), -1) {
		list = append(list, fence{language: m[1], body: m[2]})
	}
	assert.Assert(t, len(list) > 0, page)
	return list
}

// file returns the name that the first line gives, behind //, and the whole text.
func (f fence) file(t *testing.T) (name, body string) {
	t.Helper()
	first, _, _ := strings.Cut(f.body, "\n")
	name, named := strings.CutPrefix(first, "// ")
	assert.Assert(t, named, "a file without its name: %s", first)
	return name, f.body
}

// commands are the lines of the scenario for a block of shell commands, of which the last shows an output.
func (f fence) commands(t *testing.T, shown string) string {
	t.Helper()
	lines := strings.Split(strings.TrimSpace(strings.ReplaceAll(f.body, "\\\n", " ")), "\n")
	script := ""
	for i, line := range lines {
		if ciRuns.MatchString(line) {
			assertInCI(t, line)
			continue
		}
		wanted := ""
		if i == len(lines)-1 {
			wanted = pattern(shown)
		}
		script += command(line, wanted)
	}
	return script
}

func assertInCI(t *testing.T, line string) {
	t.Helper()
	text, err := os.ReadFile("../.ci/run")
	assert.NilError(t, err)
	words := strings.Fields(line)
	if len(words) == 1 {
		assert.Assert(t, regexp.MustCompile(`(?m)^`+regexp.QuoteMeta(line)+` `).Match(text), "CI does not run: %s", line)
		return
	}
	found := regexp.MustCompile(`(?m)^go ` + words[1] + `.* ` + words[len(words)-1] + `$`).Match(text)
	assert.Assert(t, found, "CI does not run: %s", line)
}

// command is one shell command in the scenario's words; one that runs on is left in the background.
func command(line, wanted string) string {
	line = regexp.MustCompile(`^go run \./`).ReplaceAllString(line, "")
	line = strings.ReplaceAll(line, "127.0.0.1:", "$NET.1.1:")
	if rest, found := strings.CutSuffix(line, " &"); found {
		return "exec " + words(rest) + " &\n"
	}
	return fmt.Sprintf("until 20s %s %s\n", quoted(wanted), words(line))
}

// pattern matches an output that has the lines shown in their order; three dots stand for anything.
func pattern(shown string) string {
	var lines []string
	for line := range strings.Lines(shown) {
		line = regexp.QuoteMeta(strings.TrimSuffix(line, "\n"))
		lines = append(lines, "^"+strings.ReplaceAll(line, `\.\.\.`, ".*")+`\r?$`)
	}
	return strings.Join(lines, `\n(?:.*\n)*?`)
}

func quoted(text string) string { return "'" + strings.ReplaceAll(text, "'", "''") + "'" }

// words turns a shell's quotes into the scenario's, in which variables expand outside of quotes only.
func words(line string) string {
	var out, literal strings.Builder
	flush := func() {
		if literal.Len() > 0 {
			out.WriteString(quoted(literal.String()))
			literal.Reset()
		}
	}
	quote := rune(0)
	variable := false
	for _, r := range line {
		switch {
		case r == quote:
			quote = 0
		case quote == 0 && (r == '"' || r == '\''):
			quote = r
		case r == '$' && quote != '\'':
			flush()
			out.WriteRune(r)
			variable = true
			continue
		case variable && isName(r):
			out.WriteRune(r)
			continue
		case r == ' ' && quote == 0:
			flush()
			out.WriteRune(r)
		default:
			literal.WriteRune(r)
		}
		variable = false
	}
	flush()
	return out.String()
}

func isName(r rune) bool { return r == '_' || r >= 'A' && r <= 'Z' }
