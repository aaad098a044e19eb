package croft

import (
	"context"
	"fmt"
	"strings"
)

// Row is one row of the platform's table.
type Row struct {
	Key string
	// Version is the number of the commit that wrote the row; it only grows, over deletes too.
	Version uint64
	Value   []byte
}

// OpKind is what an operation of a transaction does.
type OpKind string

// The operations of a transaction.
const (
	// OpCheck only compares the row's version.
	OpCheck OpKind = "Check"
	// OpPut compares the row's version and writes a value.
	OpPut OpKind = "Put"
	// OpDelete compares the row's version and deletes the row.
	OpDelete OpKind = "Delete"
)

// AnyVersion as an operation's Version leaves the row's version unchecked; only tables that say so take it.
const AnyVersion = ^uint64(0)

// Op is one compare-and-set operation of a transaction.
type Op struct {
	Kind OpKind
	Key  string
	// Version is the version the row must have, zero for no row.
	Version uint64
	Value   []byte
}

// Range selects rows of a scan, in the order of their keys.
type Range struct {
	Prefix string
	// After is the last key of the page before, empty for the first page.
	After string
	// Since leaves out rows whose version is not above it.
	Since uint64
	// Limit is the most rows of an answer.
	Limit int
}

// Table is the platform's transactional table service; reads may be old, commits never are.
type Table interface {
	// Get returns a row, or ErrNoRow; its answer may be old.
	Get(ctx context.Context, key string) (Row, error)
	// Scan returns rows in the order of their keys; its answer may be old.
	Scan(ctx context.Context, rows Range) ([]Row, error)
	// Commit does all operations or none and returns the version written; it returns
	// *ConflictError, *UnavailableError (not done) or *LostAnswerError (done or not).
	Commit(ctx context.Context, ops []Op) (uint64, error)
}

// Objects is the platform's object store.
type Objects interface {
	// PutObject stores a body under a name.
	PutObject(ctx context.Context, name string, body []byte) error
	// GetObject returns the body, or ErrNoObject.
	GetObject(ctx context.Context, name string) ([]byte, error)
}

// VMList is the platform's lagging list of live and leaving VMs.
type VMList interface {
	// ListVMs returns what changed after a version of the list, all of it for zero.
	ListVMs(ctx context.Context, since uint64) (VMDelta, error)
}

// VMOrders are the platform's means to act on VMs.
type VMOrders interface {
	// OrderVM has the platform act on a VM; an order repeated for the same boot does nothing more.
	OrderVM(ctx context.Context, order OrderVM) error
}

// Workers are the platform's means to run tasks on VMs.
type Workers interface {
	// Reports returns the lagging reports of some VMs made after an instant.
	Reports(ctx context.Context, since Millis, vms []VMID) ([]WorkerReport, error)
	// OrderTask has a worker act on a task; an older run than the worker knows is refused.
	OrderTask(ctx context.Context, order OrderTask) error
}

// Platform is all that the platform gives.
type Platform interface {
	Table
	Objects
	VMList
	VMOrders
	Workers
}

// PlatformError is a constant error of the platform's adapters.
type PlatformError string

// Error returns the text.
func (e PlatformError) Error() string { return string(e) }

// Errors of the platform that carry no detail.
const (
	ErrNoRow    PlatformError = "platform: no such row"
	ErrNoObject PlatformError = "platform: no such object"
)

// ConflictError tells that a transaction did nothing since rows had other versions.
type ConflictError struct {
	// Rows are the rows that differ as they are now, Version zero for a row that is not there.
	Rows []Row
}

// Error names the rows.
func (e *ConflictError) Error() string {
	keys := make([]string, 0, len(e.Rows))
	for _, r := range e.Rows {
		keys = append(keys, fmt.Sprintf("%s@%d", r.Key, r.Version))
	}
	return "platform: conflict on " + strings.Join(keys, ", ")
}

// UnavailableError tells that the platform did nothing.
type UnavailableError struct{ Reason string }

// Error gives the reason.
func (e *UnavailableError) Error() string { return "platform: unavailable: " + e.Reason }

// LostAnswerError tells that the platform may or may not have acted.
type LostAnswerError struct{ Reason string }

// Error gives the reason.
func (e *LostAnswerError) Error() string { return "platform: answer lost: " + e.Reason }

// Key prefixes of the table's rows.
const (
	MemberPrefix  = "vm/"
	JobPrefix     = "job/"
	SessionPrefix = "entry/"
	PlanPrefix    = "plan/"
	ConfPrefix    = "conf/"
	ClaimPrefix   = "claim/"
)

// MemberKey returns the key of a VM's member row.
func MemberKey(id VMID) string { return MemberPrefix + string(id) }

// JobKey returns the key of a job's row.
func JobKey(id JobID) string { return JobPrefix + string(id) }

// SessionKey returns the key of an entry's session row.
func SessionKey(id EntryID) string { return SessionPrefix + string(id) }

// PlanKey returns the key of the row that says who plans for a pool.
func PlanKey(id PoolID) string { return PlanPrefix + string(id) }
