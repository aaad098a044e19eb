package setup

import (
	"errors"
	"net/netip"
	"reflect"
	"regexp"
	"strings"

	"github.com/go-playground/validator/v10"
)

// The patterns and the validator for the validate tags of the settings structs.
var (
	identPattern    = regexp.MustCompile(`^[A-Za-z0-9][A-Za-z0-9._-]{0,63}$`)
	tokenPattern    = regexp.MustCompile(`^[!-~]*$`)
	structValidator = newStructValidator()
)

// newStructValidator returns a validator that supports the additional tags addrport, ident and token.
func newStructValidator() *validator.Validate {
	v := validator.New(validator.WithRequiredStructEnabled())
	custom := map[string]func(string) bool{
		"addrport": isAddrPort,
		"ident":    IsIdent,
		"token":    tokenPattern.MatchString,
	}
	for tag, accepts := range custom {
		rule := func(f validator.FieldLevel) bool { return accepts(f.Field().String()) }
		if err := v.RegisterValidation(tag, rule); err != nil {
			panic(err)
		}
	}
	return v
}

// isAddrPort reports whether a text is an IP number and a port; host names are rejected because they need a resolver.
func isAddrPort(text string) bool {
	_, err := netip.ParseAddrPort(text)
	return err == nil
}

// IsIdent reports whether a text is an identifier of 1 to 64 letters, digits, dots, hyphens or underscores.
func IsIdent(text string) bool { return identPattern.MatchString(text) }

// checkRules adds a problem for each field that violates its validate tag, unless decoding the field failed already.
func (d *decoder) checkRules(settings any) {
	var faults validator.ValidationErrors
	if !errors.As(structValidator.Struct(settings), &faults) {
		return
	}
	for _, f := range faults {
		_, path, _ := strings.Cut(f.StructNamespace(), ".")
		if d.mistyped[path] {
			continue
		}
		d.addProblem(d.nearestLine(path), path, "%s", describeRule(f.Tag(), f.Param(), f.Kind()))
	}
}

// nearestLine returns the line of a field, or of the innermost enclosing object that is present in the file.
func (d *decoder) nearestLine(path string) int {
	for path != "" {
		if line, given := d.lines[path]; given {
			return line
		}
		path = path[:max(strings.LastIndexAny(path, ".["), 0)]
	}
	return d.lines[""]
}

// describeRule returns the description of one rule of a validate tag, for problems and for the reference page.
func describeRule(tag, param string, kind reflect.Kind) string {
	switch tag {
	case "required":
		return "must be given"
	case "addrport":
		return "must be an IP number and a port, such as 10.0.0.1:7400"
	case "ident":
		return "must be 1 to 64 letters, digits, dots, hyphens or underscores, a letter or digit first"
	case "cidr":
		return "must be an IP prefix, such as 127.0.2.0/24"
	case "token":
		return "must be printable ASCII without spaces"
	case "oneof":
		return "must be one of " + strings.ReplaceAll(param, " ", ", ")
	case "gtfield":
		return "must be above " + param
	case "min":
		return "must be at least " + param + lengthUnit(kind)
	case "max":
		return "must be at most " + param + lengthUnit(kind)
	}
	return "breaks the rule " + tag + " " + param
}

// lengthUnit returns the unit of the rules min and max for a value of this kind, empty for numbers.
func lengthUnit(kind reflect.Kind) string {
	switch kind {
	case reflect.String:
		return " characters long"
	case reflect.Slice:
		return " elements long"
	default:
		return ""
	}
}

// suggestField returns a hint for an unknown field whose name differs from a known one only in case, else an empty text.
func suggestField(fields reflect.Type, name string) string {
	for i := range fields.NumField() {
		known := fields.Field(i).Name
		if strings.EqualFold(known, name) {
			return ", did you mean " + known + "?"
		}
	}
	return ""
}
