package quest

import (
	"encoding/json"
	"fmt"
	"reflect"
	"slices"
	"strings"

	"github.com/tailscale/hujson"
)

// Problem is one fault of the answers.
type Problem struct {
	// Line counts from one, zero for a fault of the whole.
	Line int
	// Field is the path of the field, such as Services[0].Kinds[1].Wait.
	Field  string
	Reason string
}

// AnswersError lists all faults of the answers.
type AnswersError struct{ Problems []Problem }

// Error lists the faults, one a line.
func (e *AnswersError) Error() string {
	lines := make([]string, 0, len(e.Problems))
	for _, p := range e.Problems {
		lines = append(lines, fmt.Sprintf("line %d: %s: %s", p.Line, p.Field, p.Reason))
	}
	return strings.Join(lines, "\n")
}

const (
	maxText  = 1 << 20
	maxDepth = 32
)

// decoder fills values from a parsed text and notes each field's line.
type decoder struct {
	// ends are the offsets of the line ends.
	ends     []int
	lines    map[string]int
	problems []Problem
}

func newDecoder(text []byte) *decoder {
	d := &decoder{lines: map[string]int{}}
	for i, c := range text {
		if c == '\n' {
			d.ends = append(d.ends, i)
		}
	}
	return d
}

func (d *decoder) line(v *hujson.Value) int {
	before, _ := slices.BinarySearch(d.ends, v.StartOffset)
	return 1 + before
}

func (d *decoder) fault(field string, line int, reason string, values ...any) {
	d.problems = append(d.problems, Problem{Line: line, Field: field, Reason: fmt.Sprintf(reason, values...)})
}

// lineOf returns the line of a field, or of what it belongs to where it is missing.
func (d *decoder) lineOf(field string) int {
	for field != "" {
		if line, found := d.lines[field]; found {
			return line
		}
		field = field[:max(0, strings.LastIndexAny(field, ".["))]
	}
	return 1
}

func (d *decoder) value(v *hujson.Value, field string, into reflect.Value) {
	d.lines[field] = d.line(v)
	switch into.Kind() {
	case reflect.Struct:
		d.object(v, field, into)
	case reflect.Slice:
		d.array(v, field, into)
	default:
		d.literal(v, field, into)
	}
}

func (d *decoder) object(v *hujson.Value, field string, into reflect.Value) {
	o, isObject := v.Value.(*hujson.Object)
	if !isObject {
		d.fault(field, d.line(v), "must be an object")
		return
	}
	seen := map[string]bool{}
	for i := range o.Members {
		m := &o.Members[i]
		name := literalText(m.Name.Value)
		path := strings.TrimPrefix(field+"."+name, ".")
		part, known := into.Type().FieldByName(name)
		switch {
		case !known:
			d.fault(path, d.line(&m.Name), "unknown field")
		case seen[name]:
			d.fault(path, d.line(&m.Name), "given twice")
		default:
			d.value(&m.Value, path, into.FieldByIndex(part.Index))
		}
		seen[name] = true
	}
}

func (d *decoder) array(v *hujson.Value, field string, into reflect.Value) {
	a, isArray := v.Value.(*hujson.Array)
	if !isArray {
		d.fault(field, d.line(v), "must be a list")
		return
	}
	into.Set(reflect.MakeSlice(into.Type(), len(a.Elements), len(a.Elements)))
	for i := range a.Elements {
		d.value(&a.Elements[i], fmt.Sprintf("%s[%d]", field, i), into.Index(i))
	}
}

func (d *decoder) literal(v *hujson.Value, field string, into reflect.Value) {
	l, isLiteral := v.Value.(hujson.Literal)
	names := map[reflect.Kind]string{reflect.String: "a text", reflect.Bool: "true or false"}
	name := names[into.Kind()]
	if name == "" {
		name = "a whole number"
	}
	if !isLiteral || string(l) == "null" || json.Unmarshal(l, into.Addr().Interface()) != nil {
		d.fault(field, d.line(v), "must be %s", name)
	}
}

func literalText(v hujson.ValueTrimmed) string {
	l, isLiteral := v.(hujson.Literal)
	if !isLiteral {
		return ""
	}
	return l.String()
}

// parse returns the value of a text, refusing one that is too long or nested too deeply.
func parse(text []byte) (hujson.Value, *Problem) {
	if len(text) > maxText {
		return hujson.Value{}, &Problem{Field: "answers", Reason: fmt.Sprintf("longer than %d bytes", maxText)}
	}
	if depth(text) > maxDepth {
		return hujson.Value{}, &Problem{Field: "answers", Reason: fmt.Sprintf("nested deeper than %d", maxDepth)}
	}
	v, err := hujson.Parse(text)
	if err != nil {
		return hujson.Value{}, &Problem{Line: errorLine(err), Field: "answers", Reason: err.Error()}
	}
	return v, nil
}

// errorLine returns the line that the parser's error names, or zero.
func errorLine(err error) int {
	var line, column int
	text := err.Error()
	if at := strings.Index(text, "line "); at >= 0 {
		_, _ = fmt.Sscanf(text[at:], "line %d, column %d", &line, &column)
	}
	return line
}

// depth bounds how deep a text may nest, brackets in strings and comments counted too.
func depth(text []byte) int {
	deepest, now := 0, 0
	for _, c := range text {
		switch c {
		case '{', '[':
			now++
			deepest = max(deepest, now)
		case '}', ']':
			now--
		}
	}
	return deepest
}
