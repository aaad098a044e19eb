package verbs

import (
	"encoding/json"
	"fmt"
	"io"
	"reflect"
	"strings"
	"text/tabwriter"
	"time"

	"waxwing.example/croft"
)

// OutputFlags holds the flags that all verbs that print data have in common.
type OutputFlags struct {
	JSON bool `arg:"--json" help:"print JSON instead of aligned text"`
}

// columnGap is the number of spaces between columns.
const columnGap = 2

func writeJSON(w io.Writer, data any) error {
	encoder := json.NewEncoder(w)
	encoder.SetEscapeHTML(false)
	encoder.SetIndent("", "  ")
	return encoder.Encode(data)
}

// printRecords prints structs as JSON or as a table whose column headers are the names of their fields.
func printRecords[T any](w io.Writer, flags OutputFlags, data []T) error {
	if flags.JSON {
		return writeJSON(w, data)
	}
	table := tabwriter.NewWriter(w, 0, 0, columnGap, ' ', 0)
	fmt.Fprintln(table, strings.Join(fieldNames(reflect.TypeFor[T]()), "\t"))
	for _, d := range data {
		fmt.Fprintln(table, strings.Join(formatFields(reflect.ValueOf(d)), "\t"))
	}
	return table.Flush()
}

func fieldNames(record reflect.Type) []string {
	var names []string
	for i := range record.NumField() {
		names = append(names, record.Field(i).Name)
	}
	return names
}

// formatFields returns the texts of the fields of a struct, one for each column.
func formatFields(record reflect.Value) []string {
	var texts []string
	for i := range record.NumField() {
		texts = append(texts, formatValue(record.Field(i).Interface()))
	}
	return texts
}

// formatValue returns the text of a value; croft.Millis is printed as an instant, and an empty text as a hyphen.
func formatValue(value any) string {
	if at, ok := value.(croft.Millis); ok {
		return formatTime(at)
	}
	text := fmt.Sprint(value)
	if text == "" {
		return "-"
	}
	return text
}

// formatTime returns an instant in RFC 3339, or a hyphen for zero.
func formatTime(at croft.Millis) string {
	if at == 0 {
		return "-"
	}
	return time.UnixMilli(int64(at)).UTC().Format(time.RFC3339)
}
