package plat

import (
	"context"
	"errors"
	"net/http"
	"net/url"
	"slices"
	"strconv"
	"strings"

	"waxwing.example/croft"
)

// Get returns a row, or croft.ErrNoRow; its answer may be old.
func (c *Client) Get(ctx context.Context, key string) (croft.Row, error) {
	var row croft.Row
	x := exchange{Method: http.MethodGet, Path: PathRow, Query: url.Values{"Key": {key}}}
	err := c.call(ctx, x, nil, &row)
	if notFound(err) {
		return croft.Row{}, croft.ErrNoRow
	}
	if err != nil {
		return croft.Row{}, err
	}
	if row.Key != key || row.Version == 0 {
		return croft.Row{}, errOtherAnswer
	}
	return row, nil
}

// errOtherAnswer tells of a well-formed answer to something else than what was asked.
var errOtherAnswer = &croft.LostAnswerError{Reason: "answer is not to what was asked"}

// Scan returns rows in the order of their keys; its answer may be old.
func (c *Client) Scan(ctx context.Context, rows croft.Range) ([]croft.Row, error) {
	query := url.Values{
		"Prefix": {rows.Prefix},
		"After":  {rows.After},
		"Since":  {strconv.FormatUint(rows.Since, 10)},
		"Limit":  {strconv.Itoa(rows.Limit)},
	}
	var found RowsAnswer
	if err := c.call(ctx, exchange{Method: http.MethodGet, Path: PathRows, Query: query}, nil, &found); err != nil {
		return nil, err
	}
	for _, r := range found.Rows {
		if !strings.HasPrefix(r.Key, rows.Prefix) || r.Key <= rows.After || r.Version <= rows.Since {
			return nil, errOtherAnswer
		}
	}
	return found.Rows, nil
}

// Commit does all operations or none and returns the version written, *croft.ConflictError,
// *croft.UnavailableError, *croft.LostAnswerError or *RejectedError.
func (c *Client) Commit(ctx context.Context, ops []croft.Op) (uint64, error) {
	var done CommitAnswer
	x := exchange{Method: http.MethodPost, Path: PathCommit}
	if err := c.call(ctx, x, CommitAsked{Ops: ops}, &done); err != nil {
		return 0, conflictOver(ops, err)
	}
	if done.Version == 0 {
		return 0, &croft.LostAnswerError{Reason: "answer names no version"}
	}
	return done.Version, nil
}

// conflictOver returns the error, unless it is a conflict over rows that were not asked for.
func conflictOver(ops []croft.Op, err error) error {
	var conflict *croft.ConflictError
	if !errors.As(err, &conflict) {
		return err
	}
	for _, r := range conflict.Rows {
		if !slices.ContainsFunc(ops, func(o croft.Op) bool { return o.Key == r.Key }) {
			return errOtherAnswer
		}
	}
	return err
}

// PutObject stores a body under a name.
func (c *Client) PutObject(ctx context.Context, name string, body []byte) error {
	return c.call(ctx, exchange{Method: http.MethodPut, Path: objectPath(name), Body: body}, nil, nil)
}

// GetObject returns the body, or croft.ErrNoObject.
func (c *Client) GetObject(ctx context.Context, name string) ([]byte, error) {
	a, err := c.do(ctx, exchange{Method: http.MethodGet, Path: objectPath(name)})
	if err != nil {
		return nil, err
	}
	if a.Status == http.StatusNotFound {
		return nil, croft.ErrNoObject
	}
	if a.Status != http.StatusOK {
		return nil, a.failure()
	}
	return a.Body, nil
}

func objectPath(name string) string { return PathObjects + url.PathEscape(name) }

// ListVMs returns what changed after a version of the list, all of it for zero.
func (c *Client) ListVMs(ctx context.Context, since uint64) (croft.VMDelta, error) {
	var delta croft.VMDelta
	query := url.Values{"Since": {strconv.FormatUint(since, 10)}}
	err := c.call(ctx, exchange{Method: http.MethodGet, Path: PathVMs, Query: query}, nil, &delta)
	return delta, err
}

// PutVM registers a VM in the platform's list and returns it as listed; boot zero asks for the next boot.
func (c *Client) PutVM(ctx context.Context, vm croft.VM) (croft.VM, error) {
	var listed croft.VM
	err := c.call(ctx, exchange{Method: http.MethodPut, Path: vmPath(vm.ID)}, vm, &listed)
	return listed, err
}

// OrderVM has the platform act on a VM.
func (c *Client) OrderVM(ctx context.Context, order croft.OrderVM) error {
	x := exchange{Method: http.MethodPost, Path: vmPath(order.VM) + "/order"}
	return c.call(ctx, x, VMOrdered{Boot: order.Boot, Verb: order.Verb}, nil)
}

func vmPath(id croft.VMID) string { return PathVMs + "/" + url.PathEscape(string(id)) }

// Reports returns the lagging reports of some VMs made after an instant, the newest of each.
func (c *Client) Reports(ctx context.Context, since croft.Millis, vms []croft.VMID) ([]croft.WorkerReport, error) {
	var found ReportsAnswer
	asked := ReportsAsked{Since: since, VMs: vms}
	err := c.call(ctx, exchange{Method: http.MethodPost, Path: PathReports}, asked, &found)
	return found.Reports, err
}

// OrderTask has a worker act on a task.
func (c *Client) OrderTask(ctx context.Context, order croft.OrderTask) error {
	asked := TaskOrdered{
		VM:         order.VM,
		Job:        order.Job,
		Run:        order.Run,
		Verb:       order.Verb,
		Lease:      order.Lease,
		Expires:    order.Expires,
		Size:       order.Size,
		Checkpoint: order.Checkpoint,
	}
	return c.call(ctx, exchange{Method: http.MethodPost, Path: PathTasks}, asked, nil)
}
