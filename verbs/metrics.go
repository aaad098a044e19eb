package verbs

import (
	"bytes"
	"context"
	"encoding/json"
	"fmt"
	"io"
	"maps"
	"slices"
	"strings"
	"text/tabwriter"

	"waxwing.example/croft/ops"
)

const metricsUsage = `Prints the metrics of one entry, a line for each: requests by service and kind with their latency in
milliseconds, pools, processor time and memory of the process, bytes between entries, log lines.`

// Metrics is the verb that prints an entry's metrics.
type Metrics struct {
	EntryFlags
	OutputFlags
}

// NewMetrics returns the verb metrics before its arguments are parsed.
func NewMetrics() *Metrics { return &Metrics{} }

// Run prints the metrics of the entry, without those that expvar publishes for any Go process.
func (m *Metrics) Run(ctx context.Context, stdout io.Writer) error {
	client, _, err := m.connect()
	if err != nil {
		return err
	}
	defer client.Close()
	all, err := client.Vars(ctx)
	if err != nil {
		return err
	}
	if m.JSON {
		return writeJSON(stdout, all[ops.VarsEntry])
	}
	values, err := flatten(all[ops.VarsEntry])
	if err != nil {
		return err
	}
	table := tabwriter.NewWriter(stdout, 0, 0, columnGap, ' ', 0)
	for _, name := range slices.Sorted(maps.Keys(values)) {
		fmt.Fprintf(table, "%s\t%s\n", name, values[name])
	}
	return table.Flush()
}

// flatten returns the values of a JSON object and of the objects in it by their dotted paths.
func flatten(object json.RawMessage) (map[string]string, error) {
	values := map[string]string{}
	if err := flattenInto(values, "", object); err != nil {
		return nil, fmt.Errorf("metrics: %w", err)
	}
	return values, nil
}

// flattenInto adds a JSON value to values: an object member by member, anything else under path.
func flattenInto(values map[string]string, path string, text json.RawMessage) error {
	if !bytes.HasPrefix(text, []byte("{")) {
		values[path] = strings.Trim(string(text), `"`)
		return nil
	}
	var members map[string]json.RawMessage
	if err := json.Unmarshal(text, &members); err != nil {
		return err
	}
	for name, member := range members {
		memberPath := name
		if path != "" {
			memberPath = path + "." + name
		}
		if err := flattenInto(values, memberPath, member); err != nil {
			return err
		}
	}
	return nil
}
