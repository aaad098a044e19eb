package plat

import (
	"context"
	"net/http"
	"net/url"
	"strconv"

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
	return row, err
}

// Scan returns rows in the order of their keys; its answer may be old.
func (c *Client) Scan(ctx context.Context, rows croft.Range) ([]croft.Row, error) {
	query := url.Values{
		"Prefix": {rows.Prefix},
		"After":  {rows.After},
		"Since":  {strconv.FormatUint(rows.Since, 10)},
		"Limit":  {strconv.Itoa(rows.Limit)},
	}
	var found RowsAnswer
	err := c.call(ctx, exchange{Method: http.MethodGet, Path: PathRows, Query: query}, nil, &found)
	return found.Rows, err
}

// Commit does all operations or none and returns the version written, *croft.ConflictError,
// *croft.UnavailableError, *croft.LostAnswerError or *RejectedError.
func (c *Client) Commit(ctx context.Context, ops []croft.Op) (uint64, error) {
	var done CommitAnswer
	x := exchange{Method: http.MethodPost, Path: PathCommit}
	if err := c.call(ctx, x, CommitAsked{Ops: ops}, &done); err != nil {
		return 0, err
	}
	if done.Version == 0 {
		return 0, &croft.LostAnswerError{Reason: "answer names no version"}
	}
	return done.Version, nil
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
		Size:       order.Size,
		Checkpoint: order.Checkpoint,
	}
	return c.call(ctx, exchange{Method: http.MethodPost, Path: PathTasks}, asked, nil)
}
