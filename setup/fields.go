package setup

import (
	"encoding/json"
	"reflect"
	"strings"
)

// Field describes one settings field for the reference page.
type Field struct {
	// Path is the dotted path of the field.
	Path string
	// Default is the default value as JSON, empty for a required field.
	Default string
	// Rule describes the values allowed, empty if there is no restriction.
	Rule string
	Doc  string
}

// Fields lists the fields of a settings struct, nested ones included, in the order of declaration; the struct's values are
// the defaults.
func Fields(defaults any) []Field {
	return listFields(reflect.ValueOf(defaults), "")
}

// listFields lists the fields of a struct; path is the path of the struct, empty for the outermost one.
func listFields(defaults reflect.Value, path string) []Field {
	var out []Field
	for i := range defaults.NumField() {
		declared := defaults.Type().Field(i)
		fieldPath := joinPath(path, declared.Name)
		if declared.Type.Kind() == reflect.Struct {
			out = append(out, listFields(defaults.Field(i), fieldPath)...)
			continue
		}
		out = append(out, Field{
			Path:    fieldPath,
			Default: defaultText(defaults.Field(i), declared.Tag.Get("validate")),
			Rule:    describeRules(declared),
			Doc:     declared.Tag.Get("doc"),
		})
	}
	return out
}

// defaultText returns a default value as JSON, or an empty text for a required field.
func defaultText(value reflect.Value, rule string) string {
	if strings.HasPrefix(rule, "required") {
		return ""
	}
	if value.Kind() == reflect.Slice && value.Len() == 0 {
		return "[]"
	}
	text, err := json.Marshal(value.Interface())
	if err != nil {
		return ""
	}
	return string(text)
}

// describeRules returns the text of all rules in the validate tag of a field.
func describeRules(declared reflect.StructField) string {
	var texts []string
	kind := declared.Type.Kind()
	for rule := range strings.SplitSeq(declared.Tag.Get("validate"), ",") {
		tag, param, _ := strings.Cut(rule, "=")
		switch tag {
		case "":
			continue
		case "dive":
			kind = declared.Type.Elem().Kind()
			texts = append(texts, "each element:")
			continue
		}
		texts = append(texts, describeRule(tag, param, kind))
	}
	return strings.ReplaceAll(strings.Join(texts, "; "), ":; ", ": ")
}
