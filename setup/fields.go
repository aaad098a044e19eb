package setup

import (
	"encoding/json"
	"reflect"
	"strings"
)

// Field documents one settings field.
type Field struct {
	// Path is the dotted path of the field.
	Path string
	// Default is the value as JSON where a file says nothing, empty where it must be given.
	Default string
	// Rule is what the value must keep to, empty for any.
	Rule string
	Doc  string
}

// Fields lists the documented fields of a settings struct that holds its defaults, in the order of declaration.
func Fields(settings any) []Field {
	return fields(reflect.ValueOf(settings), "")
}

func fields(settings reflect.Value, path string) []Field {
	var out []Field
	for i := range settings.NumField() {
		declared := settings.Type().Field(i)
		at := join(path, declared.Name)
		if declared.Type.Kind() == reflect.Struct {
			out = append(out, fields(settings.Field(i), at)...)
			continue
		}
		out = append(out, Field{
			Path:    at,
			Default: defaultOf(settings.Field(i), declared.Tag.Get("validate")),
			Rule:    ruleOf(declared),
			Doc:     declared.Tag.Get("doc"),
		})
	}
	return out
}

func defaultOf(value reflect.Value, rule string) string {
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

func ruleOf(declared reflect.StructField) string {
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
		texts = append(texts, ruleText(tag, param, kind))
	}
	return strings.ReplaceAll(strings.Join(texts, "; "), ":; ", ": ")
}
