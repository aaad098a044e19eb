package setup

import (
	"errors"
	"net/netip"
	"reflect"
	"regexp"
	"strings"

	"github.com/go-playground/validator/v10"
)

var (
	identForm = regexp.MustCompile(`^[A-Za-z0-9][A-Za-z0-9._-]{0,63}$`)
	tokenForm = regexp.MustCompile(`^[!-~]*$`)
	rules     = newRules()
)

func newRules() *validator.Validate {
	v := validator.New(validator.WithRequiredStructEnabled())
	custom := map[string]func(string) bool{
		"addrport": isAddrPort,
		"ident":    IsIdent,
		"token":    tokenForm.MatchString,
	}
	for tag, accepts := range custom {
		rule := func(f validator.FieldLevel) bool { return accepts(f.Field().String()) }
		if err := v.RegisterValidation(tag, rule); err != nil {
			panic(err)
		}
	}
	return v
}

// isAddrPort accepts IP numbers only, since names would need a resolver.
func isAddrPort(text string) bool {
	_, err := netip.ParseAddrPort(text)
	return err == nil
}

// IsIdent reports whether a text is an identifier of 1 to 64 letters, digits, dots, hyphens or underscores.
func IsIdent(text string) bool { return identForm.MatchString(text) }

func (d *decoder) check(settings any) {
	var faults validator.ValidationErrors
	if !errors.As(rules.Struct(settings), &faults) {
		return
	}
	for _, f := range faults {
		_, path, _ := strings.Cut(f.StructNamespace(), ".")
		if d.wrong[path] {
			continue
		}
		d.add(d.nearest(path), path, "%s", ruleText(f.Tag(), f.Param(), f.Kind()))
	}
}

// nearest returns the line of a field, or of the innermost object around it that the file gives.
func (d *decoder) nearest(path string) int {
	for path != "" {
		if line, given := d.lines[path]; given {
			return line
		}
		path = path[:max(strings.LastIndexAny(path, ".["), 0)]
	}
	return d.lines[""]
}

func ruleText(tag, param string, kind reflect.Kind) string {
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
		return "must be at least " + param + unitOf(kind)
	case "max":
		return "must be at most " + param + unitOf(kind)
	}
	return "breaks the rule " + tag + " " + param
}

func unitOf(kind reflect.Kind) string {
	switch kind {
	case reflect.String:
		return " characters long"
	case reflect.Slice:
		return " elements long"
	default:
		return ""
	}
}

func hint(fields reflect.Type, name string) string {
	for i := range fields.NumField() {
		known := fields.Field(i).Name
		if strings.EqualFold(known, name) {
			return ", did you mean " + known + "?"
		}
	}
	return ""
}
