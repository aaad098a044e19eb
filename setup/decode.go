package setup

import (
	"fmt"
	"reflect"
	"regexp"
	"slices"
	"strconv"
	"strings"

	"github.com/tailscale/hujson"
)

// MaxFileBytes is the largest file that is read, in bytes.
const MaxFileBytes = 4 << 20

// maxDepth is the deepest nesting of a settings file.
const maxDepth = 64

// Decode reads JSON with comments over the defaults in a struct and checks it by its validate tags; it
// returns an *InvalidError that lists every fault, unknown and duplicate fields among them.
func Decode(name string, body []byte, into any) error {
	d := newDecoder(name, body)
	if !d.parse(reflect.ValueOf(into).Elem()) {
		return &InvalidError{Problems: d.problems}
	}
	d.check(into)
	if len(d.problems) == 0 {
		return nil
	}
	slices.SortStableFunc(d.problems, func(a, b Problem) int { return a.Line - b.Line })
	return &InvalidError{Problems: d.problems}
}

// Parse reads JSON with comments over the values in a struct without a look at its tags, and returns the lines of its fields and every fault.
func Parse(name string, body []byte, into any) (Lines, []Problem) {
	d := newDecoder(name, body)
	d.parse(reflect.ValueOf(into).Elem())
	return d.lines, d.problems
}

// Lines tells on which line a file gives each field, by the field's path.
type Lines map[string]int

// Of returns the line of a field, or of what it belongs to where it is missing.
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
		file:   name,
		body:   body,
		breaks: lineBreaks(body),
		lines:  Lines{"": 1},
		wrong:  map[string]bool{},
	}
}

type decoder struct {
	file     string
	body     []byte
	problems []Problem
	// breaks holds the offsets of the line breaks.
	breaks []int
	// lines holds the line of each field that the file gives.
	lines Lines
	// wrong holds the fields whose value could not be taken.
	wrong map[string]bool
}

func (d *decoder) add(line int, field, format string, args ...any) {
	text := fmt.Sprintf(format, args...)
	d.problems = append(d.problems, Problem{File: d.file, Line: line, Field: field, Text: text})
}

// parse reports whether the file is an object that could be read at all.
func (d *decoder) parse(target reflect.Value) bool {
	if len(d.body) > MaxFileBytes {
		d.add(0, "", "the file has %d bytes, more than %d", len(d.body), MaxFileBytes)
		return false
	}
	if depth(d.body) > maxDepth {
		d.add(0, "", "nested deeper than %d", maxDepth)
		return false
	}
	root, err := hujson.Parse(d.body)
	if err != nil {
		line, text := parseFault(err)
		d.add(line, "", "%s", text)
		return false
	}
	d.value(root, target, "")
	return true
}

var parsePlace = regexp.MustCompile(`(?:hujson: )?line (\d+), column (\d+): (.*)`)

// parseFault takes the line out of the parser's error text.
func parseFault(err error) (int, string) {
	parts := parsePlace.FindStringSubmatch(err.Error())
	if parts == nil {
		return 0, err.Error()
	}
	line, _ := strconv.Atoi(parts[1])
	return line, "column " + parts[2] + ": " + parts[3]
}

// depth bounds the nesting before the recursive parser sees it; brackets in strings and comments only make it larger.
func depth(body []byte) int {
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

func (d *decoder) line(v hujson.Value) int {
	index, _ := slices.BinarySearch(d.breaks, v.StartOffset)
	return index + 1
}

func lineBreaks(body []byte) []int {
	var breaks []int
	for i, b := range body {
		if b == '\n' {
			breaks = append(breaks, i)
		}
	}
	return breaks
}

func (d *decoder) value(v hujson.Value, target reflect.Value, path string) {
	d.lines[path] = d.line(v)
	switch target.Kind() {
	case reflect.Struct:
		d.object(v, target, path)
	case reflect.Slice:
		d.array(v, target, path)
	default:
		d.literal(v, target, path)
	}
}

func (d *decoder) mismatch(v hujson.Value, path, want string) {
	d.wrong[path] = true
	d.add(d.line(v), path, "must be %s", want)
}

func (d *decoder) object(v hujson.Value, target reflect.Value, path string) {
	object, ok := v.Value.(*hujson.Object)
	if !ok {
		d.mismatch(v, path, "an object")
		return
	}
	seen := map[string]bool{}
	for _, m := range object.Members {
		name := m.Name.Value.(hujson.Literal).String()
		at := join(path, name)
		field, known := target.Type().FieldByName(name)
		switch {
		case seen[name]:
			d.add(d.line(m.Name), at, "given twice")
		case !known || !field.IsExported():
			d.add(d.line(m.Name), at, "unknown field%s", hint(target.Type(), name))
		default:
			d.value(m.Value, target.FieldByIndex(field.Index), at)
		}
		seen[name] = true
	}
}

func (d *decoder) array(v hujson.Value, target reflect.Value, path string) {
	if literal, isLiteral := v.Value.(hujson.Literal); isLiteral && literal.Kind() == 'n' {
		// The standard encoder writes an empty list as null.
		target.SetZero()
		return
	}
	array, ok := v.Value.(*hujson.Array)
	if !ok {
		d.mismatch(v, path, "a list")
		return
	}
	list := reflect.MakeSlice(target.Type(), len(array.Elements), len(array.Elements))
	for i, e := range array.Elements {
		d.value(e, list.Index(i), fmt.Sprintf("%s[%d]", path, i))
	}
	target.Set(list)
}

func (d *decoder) literal(v hujson.Value, target reflect.Value, path string) {
	literal, _ := v.Value.(hujson.Literal)
	switch target.Kind() {
	case reflect.String:
		if literal.Kind() != '"' {
			d.mismatch(v, path, "a string")
			return
		}
		target.SetString(literal.String())
	case reflect.Bool:
		if literal.Kind() != 't' && literal.Kind() != 'f' {
			d.mismatch(v, path, "true or false")
			return
		}
		target.SetBool(literal.Bool())
	default:
		d.number(v, literal, target, path)
	}
}

func (d *decoder) number(v hujson.Value, literal hujson.Literal, target reflect.Value, path string) {
	if target.CanUint() {
		n, err := strconv.ParseUint(string(literal), 10, target.Type().Bits())
		if err != nil {
			d.mismatch(v, path, "a whole number from zero")
			return
		}
		target.SetUint(n)
		return
	}
	n, err := strconv.ParseInt(string(literal), 10, target.Type().Bits())
	if err != nil {
		d.mismatch(v, path, "a whole number")
		return
	}
	target.SetInt(n)
}

func join(path, name string) string {
	if path == "" {
		return name
	}
	return path + "." + name
}
