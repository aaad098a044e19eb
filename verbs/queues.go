package verbs

import (
	"fmt"
	"io"
	"strings"

	"waxwing.example/croft"
	"waxwing.example/croft/audit"
)

// QueueDecoder decodes the platform's form of what the check of job queues reads.
type QueueDecoder struct {
	// Config decodes a configuration strictly; the text of its error has a line for each fault.
	Config func(raw []byte) (croft.QueueConfig, []audit.Finding, error)
	// Job decodes a job as callers submit it.
	Job func(raw []byte) (croft.JobSpec, error)
}

// FindingsError means that a check found errors or contradictions.
type FindingsError struct{ Errors, Contradictions int }

// Error returns the numbers of findings.
func (e *FindingsError) Error() string {
	return fmt.Sprintf("%d errors, %d contradictions", e.Errors, e.Contradictions)
}

// queueReport is the result for one file; its field names are those of the JSON output.
type queueReport struct {
	File     string
	Version  uint64
	Findings []audit.Finding
	Changes  []audit.Change
}

// checkQueues checks every file as a configuration of job queues and fails if one cannot be used or has an error or a contradiction.
func (c *Check) checkQueues(stdout io.Writer) error {
	if c.queues.Config == nil || c.queues.Job == nil {
		return errNotAvailable
	}
	options, err := c.readOptions()
	if err != nil {
		return err
	}
	reports, found := []queueReport{}, &FindingsError{}
	var faults []string
	for _, name := range c.Files {
		report, err := c.checkQueueFile(name, options)
		if err != nil {
			faults = append(faults, err.Error())
			continue
		}
		found.count(report.Findings)
		reports = append(reports, report)
	}
	if err := c.printReports(stdout, reports); err != nil {
		return err
	}
	if len(faults) > 0 {
		return &FileError{Text: strings.Join(faults, "\n")}
	}
	if *found != (FindingsError{}) {
		return found
	}
	return nil
}

func (e *FindingsError) count(findings []audit.Finding) {
	for _, f := range findings {
		switch f.Level {
		case audit.Error:
			e.Errors++
		case audit.Contradiction:
			e.Contradictions++
		}
	}
}

// readOptions reads the configuration in force and the example job, where they are given.
func (c *Check) readOptions() (audit.Options, error) {
	var options audit.Options
	if c.Against != "" {
		config, _, err := c.readQueues(c.Against)
		if err != nil {
			return options, err
		}
		options.InForce = &config
	}
	if c.Job != "" {
		raw, err := readFile(c.Job)
		if err != nil {
			return options, err
		}
		job, err := c.queues.Job(raw)
		if err != nil {
			return options, prefixLines(c.Job, err)
		}
		options.Job, options.JobBytes = &job, int64(len(raw))
	}
	return options, nil
}

func (c *Check) readQueues(name string) (croft.QueueConfig, []audit.Finding, error) {
	raw, err := readFile(name)
	if err != nil {
		return croft.QueueConfig{}, nil, err
	}
	config, findings, err := c.queues.Config(raw)
	if err != nil {
		return croft.QueueConfig{}, nil, prefixLines(name, err)
	}
	return config, findings, nil
}

// prefixLines returns a FileError whose lines begin with the name of the file.
func prefixLines(name string, err error) error {
	return &FileError{Text: name + ": " + strings.ReplaceAll(err.Error(), "\n", "\n"+name+": ")}
}

func (c *Check) checkQueueFile(name string, options audit.Options) (queueReport, error) {
	config, findings, err := c.readQueues(name)
	if err != nil {
		return queueReport{}, err
	}
	report := queueReport{File: name, Version: config.Version, Findings: append([]audit.Finding{}, findings...), Changes: []audit.Change{}}
	report.Findings = append(report.Findings, audit.Check(config, options)...)
	if options.InForce != nil {
		report.Changes = append(report.Changes, audit.Diff(*options.InForce, config)...)
	}
	return report, nil
}

// printReports prints a line for each finding and change, and one for each file without findings; or all as JSON.
func (c *Check) printReports(stdout io.Writer, reports []queueReport) error {
	if c.JSON {
		return writeJSON(stdout, reports)
	}
	for _, r := range reports {
		if len(r.Findings) == 0 {
			fmt.Fprintf(stdout, "%s: good\n", r.File)
		}
		for _, f := range r.Findings {
			fmt.Fprintf(stdout, "%s: %s\n", r.File, f)
		}
		for _, change := range r.Changes {
			fmt.Fprintf(stdout, "%s: %s\n", r.File, change)
		}
	}
	return nil
}

// errQueuesOnly means that an argument was given that only the check of job queues has.
var errQueuesOnly = &UsageError{Text: "--against, --job and --json need --as queues"}

// checkArguments returns an error if the kind is unknown or lacks one of the arguments given.
func (c *Check) checkArguments() error {
	switch c.As {
	case kindQueues:
		return nil
	case kindEntry, kindWax, kindAnswers:
		if c.Against != "" || c.Job != "" || c.JSON {
			return errQueuesOnly
		}
		return nil
	}
	return &UsageError{Text: "--as is entry, wax, answers or queues, not " + c.As}
}
