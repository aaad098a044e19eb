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

// preamble sets the variables that the pages leave to the reader. entry.json and wax.json come from README.md.
const preamble = `# The commands of the pages, with the scenario's own network in place of 127.0.0.1.
env ENTRY=$NET.1.1:7400
env OPERATORS=$NET.1.1:7401
env TOKEN=operators-token-0001
env GORACE=atexit_sleep_ms=10
localize entry.json wax.json
`

// pages are run in this order as one scenario, so that each page continues with the processes of those before it.
var pages = []string{"../README.md", "../docs/CALLERS.md", "../docs/OPERATIONS.md"}

// ciCommands matches the commands of the pages that CI runs separately.
var ciCommands = regexp.MustCompile(`^(go run \./wax demo|\.ci/test)$`)

// TestDocs runs each command of the pages against real processes and checks that it prints the output shown there.
func TestDocs(t *testing.T) {
	script := filepath.Join(t.TempDir(), "docs.txtar")
	assert.NilError(t, os.WriteFile(script, []byte(buildDocsScript(t)), 0o600))
	p := scriptParams(t, "*.txtar")
	p.Files = []string{script}
	p.Cmds = maps.Clone(p.Cmds)
	p.Cmds["localize"] = localizeCmd
	testscript.Run(t, p)
}

// localizeCmd replaces 127.0.0.1 in files by the address of the scenario's first entry: localize FILE...
func localizeCmd(ts *testscript.TestScript, _ bool, args []string) {
	for _, name := range args {
		text := strings.ReplaceAll(ts.ReadFile(name), "127.0.0.1:", ts.Getenv("NET")+".1.1:")
		ts.Check(os.WriteFile(ts.MkAbs(name), []byte(text), 0o600))
	}
}

// buildDocsScript returns the preamble followed by a scenario made of the code blocks of all pages.
func buildDocsScript(t *testing.T) string {
	t.Helper()
	script := preamble
	files := sampleFiles(t)
	for _, page := range pages {
		script += "\n# " + page + "\n"
		blocks := readCodeBlocks(t, page)
		for i, b := range blocks {
			switch b.language {
			case "jsonc":
				name, body := b.file(t)
				files += "-- " + name + " --\n" + body
			case "sh":
				output := ""
				if i+1 < len(blocks) && blocks[i+1].language == "text" {
					output = blocks[i+1].body
				}
				script += b.scriptLines(t, output)
			}
		}
	}
	return script + files
}

// sampleFiles returns, as files of the scenario, the logs and the configurations that OPERATIONS.md explains.
func sampleFiles(t *testing.T) string {
	t.Helper()
	logs, err := filepath.Glob("../verbs/testdata/why/*.log")
	assert.NilError(t, err)
	configurations, err := filepath.Glob("../platform/testdata/queues/*.json")
	assert.NilError(t, err)
	files := ""
	for _, name := range append(logs, configurations...) {
		body, err := os.ReadFile(name)
		assert.NilError(t, err)
		files += "-- " + strings.TrimPrefix(name, "../") + " --\n" + string(body)
	}
	return files
}

// codeBlock is one fenced code block of a page.
type codeBlock struct{ language, body string }

var codeBlockRegexp = regexp.MustCompile("(?ms)^```(\\w+)\n(.*?)^```$")

// readCodeBlocks returns the fenced code blocks of a page, of which there must be at least one.
func readCodeBlocks(t *testing.T, page string) []codeBlock {
	t.Helper()
	text, err := os.ReadFile(page)
	assert.NilError(t, err)
	var blocks []codeBlock
	for _, m := range codeBlockRegexp.FindAllStringSubmatch(string(text), -1) {
		blocks = append(blocks, codeBlock{language: m[1], body: m[2]})
	}
	assert.Assert(t, len(blocks) > 0, page)
	return blocks
}

// file returns the file name in the comment on the block's first line, and the whole block as the file's content.
func (b codeBlock) file(t *testing.T) (name, body string) {
	t.Helper()
	firstLine, _, _ := strings.Cut(b.body, "\n")
	name, hasName := strings.CutPrefix(firstLine, "// ")
	assert.Assert(t, hasName, "code block without a file name in its first line: %s", firstLine)
	return name, b.body
}

// scriptLines returns the scenario's lines for a block of shell commands. The last command must print the given output.
func (b codeBlock) scriptLines(t *testing.T, output string) string {
	t.Helper()
	lines := strings.Split(strings.TrimSpace(strings.ReplaceAll(b.body, "\\\n", " ")), "\n")
	script := ""
	for i, line := range lines {
		if ciCommands.MatchString(line) {
			assertInCI(t, line)
			continue
		}
		expected := ""
		if i == len(lines)-1 {
			expected = outputPattern(output)
		}
		script += scriptLine(line, expected)
	}
	return script
}

// assertInCI fails the test unless .ci/run contains the command.
func assertInCI(t *testing.T, line string) {
	t.Helper()
	text, err := os.ReadFile("../.ci/run")
	assert.NilError(t, err)
	fields := strings.Fields(line)
	if len(fields) == 1 {
		assert.Assert(t, regexp.MustCompile(`(?m)^`+regexp.QuoteMeta(line)+` `).Match(text), "CI does not run: %s", line)
		return
	}
	found := regexp.MustCompile(`(?m)^go ` + fields[1] + `.* ` + fields[len(fields)-1] + `$`).Match(text)
	assert.Assert(t, found, "CI does not run: %s", line)
}

// scriptLine returns the scenario's line for one shell command. A command that ends with & runs in the background, any other
// is repeated until it prints the expected output.
func scriptLine(line, expected string) string {
	line = regexp.MustCompile(`^go run \./`).ReplaceAllString(line, "")
	line = strings.ReplaceAll(line, "127.0.0.1:", "$NET.1.1:")
	if rest, found := strings.CutSuffix(line, " &"); found {
		return "exec " + convertQuotes(rest) + " &\n"
	}
	return fmt.Sprintf("until 20s %s %s\n", singleQuoted(expected), convertQuotes(line))
}

// outputPattern returns a regular expression for text that contains the given lines in this order, with any other lines
// between them. Three dots match any characters.
func outputPattern(output string) string {
	var lines []string
	for line := range strings.Lines(output) {
		line = regexp.QuoteMeta(strings.TrimSuffix(line, "\n"))
		lines = append(lines, "^"+strings.ReplaceAll(line, `\.\.\.`, ".*")+`\r?$`)
	}
	return strings.Join(lines, `\n(?:.*\n)*?`)
}

// singleQuoted quotes text as testscript does, in which a doubled quote stands for one quote.
func singleQuoted(text string) string { return "'" + strings.ReplaceAll(text, "'", "''") + "'" }

// convertQuotes turns the quotes of a shell command into those of testscript, which expands variables only outside quotes.
func convertQuotes(line string) string {
	var out, literal strings.Builder
	flush := func() {
		if literal.Len() > 0 {
			out.WriteString(singleQuoted(literal.String()))
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
		case variable && isVariableChar(r):
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

func isVariableChar(r rune) bool { return r == '_' || r >= 'A' && r <= 'Z' }
