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

// Printed is embedded by verbs that print data.
type Printed struct {
	JSON bool `arg:"--json" help:"print JSON instead of aligned text"`
}

// columnGap is the number of blanks between columns.
const columnGap = 2

func writeJSON(w io.Writer, data any) error {
	encoder := json.NewEncoder(w)
	encoder.SetEscapeHTML(false)
	encoder.SetIndent("", "  ")
	return encoder.Encode(data)
}

// lines prints structs as JSON or as a table whose columns are their fields.
func lines[T any](w io.Writer, p Printed, data []T) error {
	if p.JSON {
		return writeJSON(w, data)
	}
	table := tabwriter.NewWriter(w, 0, 0, columnGap, ' ', 0)
	fmt.Fprintln(table, strings.Join(columns(reflect.TypeFor[T]()), "\t"))
	for _, d := range data {
		fmt.Fprintln(table, strings.Join(cells(reflect.ValueOf(d)), "\t"))
	}
	return table.Flush()
}

func columns(line reflect.Type) []string {
	var names []string
	for i := range line.NumField() {
		names = append(names, line.Field(i).Name)
	}
	return names
}

func cells(line reflect.Value) []string {
	var texts []string
	for i := range line.NumField() {
		texts = append(texts, cell(line.Field(i).Interface()))
	}
	return texts
}

func cell(value any) string {
	if at, ok := value.(croft.Millis); ok {
		return instant(at)
	}
	text := fmt.Sprint(value)
	if text == "" {
		return "-"
	}
	return text
}

func instant(at croft.Millis) string {
	if at == 0 {
		return "-"
	}
	return time.UnixMilli(int64(at)).UTC().Format(time.RFC3339)
}
