package verbs

import (
	"context"
	"fmt"
	"io"

	"waxwing.example/croft"
	"waxwing.example/croft/ops"
	"waxwing.example/croft/setup"
)

const jobsUsage = `Prints a line for each job with its status and the reason. With --submit it submits a job to be placed, with
--cancel it cancels jobs.`

// Jobs is the verb that lists, submits and cancels jobs.
type Jobs struct {
	EntryFlags
	OutputFlags
	Submit string        `arg:"--submit" placeholder:"FILE" help:"job to submit, JSON with comments and the fields ID, Service, Urgency and Declared"`
	Cancel []croft.JobID `arg:"--cancel" placeholder:"ID" help:"jobs to cancel"`
}

// NewJobs returns the verb jobs before its arguments are parsed.
func NewJobs() *Jobs { return &Jobs{} }

// Run submits a job, cancels jobs or lists them, depending on the flags.
func (j *Jobs) Run(ctx context.Context, stdout io.Writer) error {
	if j.Submit != "" && len(j.Cancel) > 0 {
		return &UsageError{Text: "--submit and --cancel exclude each other"}
	}
	client, _, err := j.connect()
	if err != nil {
		return err
	}
	defer client.Close()
	switch {
	case j.Submit != "":
		return j.submitJob(ctx, client, stdout)
	case len(j.Cancel) > 0:
		return j.cancelJobs(ctx, client, stdout)
	}
	found, err := client.Jobs(ctx)
	if err != nil {
		return err
	}
	return printRecords(stdout, j.OutputFlags, found)
}

func (j *Jobs) submitJob(ctx context.Context, client *ops.Client, stdout io.Writer) error {
	body, err := readFile(j.Submit)
	if err != nil {
		return err
	}
	var job ops.NewJob
	if err := setup.Decode(j.Submit, body, &job); err != nil {
		return err
	}
	if err := client.Submit(ctx, job); err != nil {
		return err
	}
	_, err = fmt.Fprintf(stdout, "job %s submitted\n", job.ID)
	return err
}

func (j *Jobs) cancelJobs(ctx context.Context, client *ops.Client, stdout io.Writer) error {
	if err := client.Cancel(ctx, j.Cancel); err != nil {
		return err
	}
	_, err := fmt.Fprintf(stdout, "jobs cancelled: %d\n", len(j.Cancel))
	return err
}
