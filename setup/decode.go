package setup

import (
	"bytes"
	"fmt"
	"reflect"
	"regexp"
	"slices"
	"strconv"
	"strings"

	"github.com/tailscale/hujson"
)

// MaxFileBytes is the size limit of a settings file, in bytes.
const MaxFileBytes = 4 << 20

// Limits on what a settings file needs in memory once it is decoded.
const (
	// maxDepth is the limit on nested brackets.
	maxDepth = 64
	// maxItems is the limit on the fields and list elements, counted by their separators, and on the lines.
	maxItems = 40_000
	// maxProblems is the limit on the problems that are reported.
	maxProblems = 1000
)

// Decode reads JSON with comments into a struct that holds the defaults and checks it by its validate tags; it
// returns an *InvalidError that lists every fault, including unknown and duplicate fields.
func Decode(name string, body []byte, into any) error {
	d := newDecoder(name, body)
	if !d.parse(reflect.ValueOf(into).Elem()) {
		return &InvalidError{Problems: d.problems}
	}
	d.checkRules(into)
	if len(d.problems) == 0 {
		return nil
	}
	slices.SortStableFunc(d.problems, func(a, b Problem) int { return a.Line - b.Line })
	return &InvalidError{Problems: d.problems}
}

// Parse reads JSON with comments into a struct without checking its validate tags; it returns the line of each field
// and every fault.
func Parse(name string, body []byte, into any) (Lines, []Problem) {
	d := newDecoder(name, body)
	d.parse(reflect.ValueOf(into).Elem())
	return d.lines, d.problems
}

// Lines maps the path of each field in a file, such as Log.Format or SeedPeers[1], to its line.
type Lines map[string]int

// Of returns the line of a field, or of the innermost enclosing object or list if the file lacks the field.
func (l Lines) Of(field string) int {
	for field != "" {
		if line, found := l[field]; found {
			return line
		}
		field = field[:max(0, strings.LastIndexAny(field, ".["))]
	}
	return 1
}

func newDecoder(name string, body []byte) *decoder {
	return &decoder{
		file:     name,
		body:     body,
		lines:    Lines{"": 1},
		mistyped: map[string]bool{},
	}
}

// decoder decodes one file by reflection and collects its problems.
type decoder struct {
	file     string
	body     []byte
	problems []Problem
	// lineBreaks holds the byte offsets of the line breaks, in ascending order.
	lineBreaks []int
	// lines holds the line of each field present in the file.
	lines Lines
	// mistyped holds the paths of the fields whose values have the wrong type; the rules of these fields are not checked.
	mistyped map[string]bool
}

func (d *decoder) addProblem(line int, field, format string, args ...any) {
	text := fmt.Sprintf(format, args...)
	if len(d.problems) < maxProblems {
		d.problems = append(d.problems, Problem{File: d.file, Line: line, Field: field, Text: text})
	}
}

// parse decodes the file into target; it returns false if the file is not JSON or exceeds the limits on size or depth.
func (d *decoder) parse(target reflect.Value) bool {
	if len(d.body) > MaxFileBytes {
		d.addProblem(0, "", "the file has %d bytes, more than %d", len(d.body), MaxFileBytes)
		return false
	}
	if items := countItems(d.body); items > maxItems {
		d.addProblem(0, "", "the file has %d fields, list elements and lines, more than %d", items, maxItems)
		return false
	}
	d.lineBreaks = findLineBreaks(d.body)
	if maxBracketDepth(d.body) > maxDepth {
		d.addProblem(0, "", "nested deeper than %d", maxDepth)
		return false
	}
	root, err := hujson.Parse(d.body)
	if err != nil {
		line, text := splitParseError(err)
		d.addProblem(line, "", "%s", text)
		return false
	}
	d.decodeValue(root, target, "")
	return true
}

// parseErrorPattern matches an error text of the hujson parser and captures line, column and message.
var parseErrorPattern = regexp.MustCompile(`(?:hujson: )?line (\d+), column (\d+): (.*)`)

// splitParseError returns the line of a parser error, zero if unknown, and its text without the line.
func splitParseError(err error) (int, string) {
	parts := parseErrorPattern.FindStringSubmatch(err.Error())
	if parts == nil {
		return 0, err.Error()
	}
	line, _ := strconv.Atoi(parts[1])
	return line, "column " + parts[2] + ": " + parts[3]
}

// countItems returns an upper bound of the number of fields, list elements and lines; separators in strings and comments are counted
// too.
func countItems(body []byte) int {
	items := 0
	for _, separator := range []string{"\n", ",", ":", "[", "{", "/*", "//"} {
		items += bytes.Count(body, []byte(separator))
	}
	return items
}

// maxBracketDepth returns an upper bound of the nesting depth, so that deep input never reaches the recursive parser;
// brackets in strings and comments are counted too.
func maxBracketDepth(body []byte) int {
	deepest, open := 0, 0
	for _, b := range body {
		switch b {
		case '{', '[':
			open++
		case '}', ']':
			open = max(open-1, 0)
		}
		deepest = max(deepest, open)
	}
	return deepest
}

// lineOf returns the line on which a value starts, counted from one.
func (d *decoder) lineOf(v hujson.Value) int {
	index, _ := slices.BinarySearch(d.lineBreaks, v.StartOffset)
	return index + 1
}

func findLineBreaks(body []byte) []int {
	var breaks []int
	for i, b := range body {
		if b == '\n' {
			breaks = append(breaks, i)
		}
	}
	return breaks
}

// decodeValue decodes a value into target and records the line of its path.
func (d *decoder) decodeValue(v hujson.Value, target reflect.Value, path string) {
	d.lines[path] = d.lineOf(v)
	switch target.Kind() {
	case reflect.Struct:
		d.decodeObject(v, target, path)
	case reflect.Slice:
		d.decodeArray(v, target, path)
	default:
		d.decodeLiteral(v, target, path)
	}
}

// addMismatch adds a problem for a value of the wrong type.
func (d *decoder) addMismatch(v hujson.Value, path, want string) {
	d.mistyped[path] = true
	d.addProblem(d.lineOf(v), path, "must be %s", want)
}

func (d *decoder) decodeObject(v hujson.Value, target reflect.Value, path string) {
	object, ok := v.Value.(*hujson.Object)
	if !ok {
		d.addMismatch(v, path, "an object")
		return
	}
	seen := map[string]bool{}
	for _, m := range object.Members {
		name := m.Name.Value.(hujson.Literal).String()
		memberPath := joinPath(path, name)
		field, known := target.Type().FieldByName(name)
		switch {
		case seen[name]:
			d.addProblem(d.lineOf(m.Name), memberPath, "given twice")
		case !known || !field.IsExported():
			d.addProblem(d.lineOf(m.Name), memberPath, "unknown field%s", suggestField(target.Type(), name))
		default:
			d.decodeValue(m.Value, target.FieldByIndex(field.Index), memberPath)
		}
		seen[name] = true
	}
}

func (d *decoder) decodeArray(v hujson.Value, target reflect.Value, path string) {
	if literal, isLiteral := v.Value.(hujson.Literal); isLiteral && literal.Kind() == 'n' {
		// encoding/json writes a nil slice as null.
		target.SetZero()
		return
	}
	array, ok := v.Value.(*hujson.Array)
	if !ok {
		d.addMismatch(v, path, "a list")
		return
	}
	list := reflect.MakeSlice(target.Type(), len(array.Elements), len(array.Elements))
	for i, e := range array.Elements {
		d.decodeValue(e, list.Index(i), fmt.Sprintf("%s[%d]", path, i))
	}
	target.Set(list)
}

func (d *decoder) decodeLiteral(v hujson.Value, target reflect.Value, path string) {
	literal, _ := v.Value.(hujson.Literal)
	switch target.Kind() {
	case reflect.String:
		if literal.Kind() != '"' {
			d.addMismatch(v, path, "a string")
			return
		}
		target.SetString(literal.String())
	case reflect.Bool:
		if literal.Kind() != 't' && literal.Kind() != 'f' {
			d.addMismatch(v, path, "true or false")
			return
		}
		target.SetBool(literal.Bool())
	default:
		d.decodeNumber(v, literal, target, path)
	}
}

func (d *decoder) decodeNumber(v hujson.Value, literal hujson.Literal, target reflect.Value, path string) {
	if target.CanUint() {
		n, err := strconv.ParseUint(string(literal), 10, target.Type().Bits())
		if err != nil {
			d.addMismatch(v, path, "a whole number from zero")
			return
		}
		target.SetUint(n)
		return
	}
	n, err := strconv.ParseInt(string(literal), 10, target.Type().Bits())
	if err != nil {
		d.addMismatch(v, path, "a whole number")
		return
	}
	target.SetInt(n)
}

func joinPath(path, name string) string {
	if path == "" {
		return name
	}
	return path + "." + name
}
