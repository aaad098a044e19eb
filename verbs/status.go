package verbs

import (
	"context"
	"fmt"
	"io"
	"text/tabwriter"

	"waxwing.example/croft"
	"waxwing.example/croft/ops"
)

const statusUsage = `Prints the state of one entry: the configuration version in force, whether the entry is ready, whether the
platform is reachable, the entries it knows, and its requests by service and kind since it started.`

// Status is the verb that prints the state of one entry.
type Status struct {
	EntryFlags
	OutputFlags
}

// NewStatus returns the verb status before its arguments are parsed.
func NewStatus() *Status { return &Status{} }

// Run prints the state of the entry.
func (s *Status) Run(ctx context.Context, stdout io.Writer) error {
	client, _, err := s.connect()
	if err != nil {
		return err
	}
	defer client.Close()
	status, err := client.Status(ctx)
	if err != nil {
		return err
	}
	if s.JSON {
		return writeJSON(stdout, status)
	}
	return writeStatus(stdout, status)
}

// writeStatus writes the state as a list of fields, a table of entries and a table of request counts.
func writeStatus(w io.Writer, status ops.Status) error {
	table := tabwriter.NewWriter(w, 0, 0, columnGap, ' ', 0)
	fmt.Fprintf(table, "Entry\t%s\n", status.Entry)
	fmt.Fprintf(table, "DataCentre\t%s\n", status.DataCentre)
	fmt.Fprintf(table, "Version\t%d\n", status.Version)
	fmt.Fprintf(table, "Ready\t%t\n", status.Ready)
	fmt.Fprintf(table, "Stopping\t%t\n", status.Stopping)
	fmt.Fprintf(table, "PlatformReachable\t%t\n", status.PlatformReachable)
	if err := table.Flush(); err != nil {
		return err
	}
	fmt.Fprintln(w)
	if err := printRecords[croft.Peer](w, OutputFlags{}, status.Peers); err != nil {
		return err
	}
	fmt.Fprintln(w)
	return printRecords[croft.ClassCount](w, OutputFlags{}, status.Classes)
}
