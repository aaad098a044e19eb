package sched

import (
	"fmt"

	"waxwing.example/croft"
	"waxwing.example/croft/jobs"
)

const (
	// jobBytes is the memory of a job without its record, and stepBytes that of a step of a decoded record without its names.
	jobBytes, stepBytes = 2 << 10, 256
	// recordsRetryAfter is the retry hint while the records of waiting jobs take too much memory: jobs that find no capacity give their
	// place to others after maxStalled.
	recordsRetryAfter = maxStalled / 2
)

// waitingBytes returns the memory of a job that has no open tasks, zero for others.
func (j *job) waitingBytes() int {
	switch {
	case j.parked != nil:
		return jobBytes + len(j.parked.packed)
	case j.ended || len(j.stages) > 0:
		return 0
	}
	return DecodedBytes(j.record)
}

// DecodedBytes returns the memory of a job with its decoded record and without tasks.
func DecodedBytes(r jobs.Record) int {
	bytes := jobBytes + len(r.Spec.Payload)
	for i := range r.Spec.Steps {
		s := &r.Spec.Steps[i]
		bytes += stepBytes + len(s.Requires) + len(s.Image) + len(s.DataRack)
	}
	return bytes
}

// limitRecords makes the queues of jobs without open tasks refuse new ones while the records of these jobs take too much memory, and
// reports whether they do. Other queues are not affected.
func (p *Planner) limitRecords(loads map[croft.QueueID]Load) bool {
	bytes := 0
	waiting := map[croft.QueueID]bool{}
	for _, j := range p.jobs {
		if n := j.waitingBytes(); n > 0 {
			bytes += n
			waiting[j.record.Queue] = true
		}
	}
	p.open.recordBytes = bytes
	full := p.options.MaxRecordBytes > 0 && bytes > p.options.MaxRecordBytes
	if full {
		for queue := range waiting {
			load := loads[queue]
			load.Refuse, load.Wait = true, max(load.Wait, recordsRetryAfter)
			loads[queue] = load
		}
	}
	if full != p.open.recordsFull {
		p.open.recordsFull = full
		p.log("Load", "records", fmt.Sprintf("refusing %v", full), fmt.Sprintf("%d queues have jobs without open tasks; their records take %d bytes, %d are allowed",
			len(waiting), bytes, p.options.MaxRecordBytes))
	}
	return full
}
