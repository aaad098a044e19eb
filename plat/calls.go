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

// Get returns a row, or croft.ErrNoRow; the result may be stale.
func (c *Client) Get(ctx context.Context, key string) (croft.Row, error) {
	var row croft.Row
	req := request{Method: http.MethodGet, Path: PathRow, Query: url.Values{"Key": {key}}}
	err := c.call(ctx, req, nil, &row)
	if isNotFound(err) {
		return croft.Row{}, croft.ErrNoRow
	}
	if err != nil {
		return croft.Row{}, err
	}
	if row.Key != key || row.Version == 0 {
		return croft.Row{}, errWrongResponse
	}
	return row, nil
}

// errWrongResponse is returned for a well-formed response that does not belong to the request.
var errWrongResponse = &croft.LostAnswerError{Reason: "answer is not to what was asked"}

// Scan returns rows in the order of their keys; the result may be stale.
func (c *Client) Scan(ctx context.Context, rows croft.Range) ([]croft.Row, error) {
	query := url.Values{
		"Prefix": {rows.Prefix},
		"After":  {rows.After},
		"Since":  {strconv.FormatUint(rows.Since, 10)},
		"Limit":  {strconv.Itoa(rows.Limit)},
	}
	var decoded RowsAnswer
	if err := c.call(ctx, request{Method: http.MethodGet, Path: PathRows, Query: query}, nil, &decoded); err != nil {
		return nil, err
	}
	for _, r := range decoded.Rows {
		if !strings.HasPrefix(r.Key, rows.Prefix) || r.Key <= rows.After || r.Version <= rows.Since {
			return nil, errWrongResponse
		}
	}
	return decoded.Rows, nil
}

// Commit does all operations or none and returns the version written, *croft.ConflictError,
// *croft.UnavailableError, *croft.LostAnswerError or *RejectedError.
func (c *Client) Commit(ctx context.Context, ops []croft.Op) (uint64, error) {
	var decoded CommitAnswer
	req := request{Method: http.MethodPost, Path: PathCommit}
	if err := c.call(ctx, req, CommitAsked{Ops: ops}, &decoded); err != nil {
		return 0, checkConflictRows(ops, err)
	}
	if decoded.Version == 0 {
		return 0, &croft.LostAnswerError{Reason: "answer names no version"}
	}
	return decoded.Version, nil
}

// checkConflictRows returns err, or errWrongResponse if it is a conflict over rows that are not among the operations.
func checkConflictRows(ops []croft.Op, err error) error {
	var conflict *croft.ConflictError
	if !errors.As(err, &conflict) {
		return err
	}
	for _, r := range conflict.Rows {
		if !slices.ContainsFunc(ops, func(o croft.Op) bool { return o.Key == r.Key }) {
			return errWrongResponse
		}
	}
	return err
}

// PutObject stores an object under a name.
func (c *Client) PutObject(ctx context.Context, name string, body []byte) error {
	return c.call(ctx, request{Method: http.MethodPut, Path: objectPath(name), Body: body}, nil, nil)
}

// GetObject returns the object stored under a name, or croft.ErrNoObject.
func (c *Client) GetObject(ctx context.Context, name string) ([]byte, error) {
	resp, err := c.do(ctx, request{Method: http.MethodGet, Path: objectPath(name)})
	if err != nil {
		return nil, err
	}
	if resp.Status == http.StatusNotFound {
		return nil, croft.ErrNoObject
	}
	if resp.Status != http.StatusOK {
		return nil, resp.statusError()
	}
	return resp.Body, nil
}

// objectPath returns the path of an object; slashes in its name are escaped.
func objectPath(name string) string { return PathObjects + url.PathEscape(name) }

// ListVMs returns what changed in the VM list after a version; zero returns the whole list.
func (c *Client) ListVMs(ctx context.Context, since uint64) (croft.VMDelta, error) {
	var delta croft.VMDelta
	query := url.Values{"Since": {strconv.FormatUint(since, 10)}}
	err := c.call(ctx, request{Method: http.MethodGet, Path: PathVMs, Query: query}, nil, &delta)
	return delta, err
}

// PutVM registers a VM in the platform's list and returns it as listed; Boot zero asks for the next boot.
func (c *Client) PutVM(ctx context.Context, vm croft.VM) (croft.VM, error) {
	var listed croft.VM
	err := c.call(ctx, request{Method: http.MethodPut, Path: vmPath(vm.ID)}, vm, &listed)
	return listed, err
}

// OrderVM orders the platform to act on a VM.
func (c *Client) OrderVM(ctx context.Context, order croft.OrderVM) error {
	req := request{Method: http.MethodPost, Path: vmPath(order.VM) + "/order"}
	return c.call(ctx, req, VMOrdered{Boot: order.Boot, Verb: order.Verb}, nil)
}

func vmPath(id croft.VMID) string { return PathVMs + "/" + url.PathEscape(string(id)) }

// Reports returns the newest report of each of the VMs, if it was made after the instant since. The platform publishes
// reports with a lag.
func (c *Client) Reports(ctx context.Context, since croft.Millis, vms []croft.VMID) ([]croft.WorkerReport, error) {
	var decoded ReportsAnswer
	body := ReportsAsked{Since: since, VMs: vms}
	err := c.call(ctx, request{Method: http.MethodPost, Path: PathReports}, body, &decoded)
	return decoded.Reports, err
}

// OrderTask orders a worker to act on a task.
func (c *Client) OrderTask(ctx context.Context, order croft.OrderTask) error {
	body := TaskOrdered{
		VM:         order.VM,
		Job:        order.Job,
		Run:        order.Run,
		Verb:       order.Verb,
		Lease:      order.Lease,
		Expires:    order.Expires,
		Size:       order.Size,
		Checkpoint: order.Checkpoint,
	}
	return c.call(ctx, request{Method: http.MethodPost, Path: PathTasks}, body, nil)
}
