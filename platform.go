package croft

import (
	"context"
	"fmt"
	"strings"
)

// Row is one row of the platform's table.
type Row struct {
	Key string
	// Version is the number of the commit that wrote the row; it only grows, even when the row is
	// deleted and written again.
	Version uint64
	Value   []byte
}

// OpKind is the kind of an operation in a transaction.
type OpKind string

// The kinds of operations in a transaction.
const (
	// OpCheck compares the row's version and writes nothing.
	OpCheck OpKind = "Check"
	// OpPut compares the row's version and writes a value.
	OpPut OpKind = "Put"
	// OpDelete compares the row's version and deletes the row.
	OpDelete OpKind = "Delete"
)

// AnyVersion as an operation's Version disables the version check; only some tables support it.
const AnyVersion = ^uint64(0)

// Op is one compare-and-set operation of a transaction.
type Op struct {
	Kind OpKind
	Key  string
	// Version is the version that the row must have, zero if the row must not exist.
	Version uint64
	Value   []byte
}

// Range selects the rows of a scan, which are returned in key order.
type Range struct {
	Prefix string
	// After is the last key of the previous page, empty for the first page.
	After string
	// Since excludes rows whose version is not above it.
	Since uint64
	// Limit is the maximum number of rows returned.
	Limit int
}

// Table is the platform's transactional table service; reads may be stale, but commits always compare
// with the current versions.
type Table interface {
	// Get returns a row, or ErrNoRow; the result may be stale.
	Get(ctx context.Context, key string) (Row, error)
	// Scan returns rows in key order; the result may be stale.
	Scan(ctx context.Context, rows Range) ([]Row, error)
	// Commit applies all operations or none and returns the version written. Its errors are
	// *ConflictError and *UnavailableError (not applied) and *LostAnswerError (applied or not).
	Commit(ctx context.Context, ops []Op) (uint64, error)
}

// Objects is the platform's object store.
type Objects interface {
	// PutObject stores an object under a name.
	PutObject(ctx context.Context, name string, body []byte) error
	// GetObject returns the body of an object, or ErrNoObject.
	GetObject(ctx context.Context, name string) ([]byte, error)
}

// VMList is the platform's list of live and leaving VMs, which lags behind their actual state.
type VMList interface {
	// ListVMs returns the changes after a version of the list, or the whole list for version zero.
	ListVMs(ctx context.Context, since uint64) (VMDelta, error)
}

// VMOrders is the platform's interface for actions on VMs.
type VMOrders interface {
	// OrderVM requests an action on a VM; it is idempotent for each boot of the VM.
	OrderVM(ctx context.Context, order OrderVM) error
}

// Workers is the platform's interface for running tasks on VMs.
type Workers interface {
	// Reports returns the reports that the given VMs made after an instant; they arrive with a lag.
	Reports(ctx context.Context, since Millis, vms []VMID) ([]WorkerReport, error)
	// OrderTask requests an action on a task; the worker refuses a run older than one it has seen.
	OrderTask(ctx context.Context, order OrderTask) error
}

// Platform combines all interfaces of the platform.
type Platform interface {
	Table
	Objects
	VMList
	VMOrders
	Workers
}

// PlatformError is the type of the constant errors that the platform's adapters return.
type PlatformError string

// Error returns the error text.
func (e PlatformError) Error() string { return string(e) }

// Errors of the platform without further details.
const (
	ErrNoRow    PlatformError = "platform: no such row"
	ErrNoObject PlatformError = "platform: no such object"
)

// ConflictError reports that a transaction was not applied because rows had other versions.
type ConflictError struct {
	// Rows are the current contents of the conflicting rows; Version is zero if there is no row.
	Rows []Row
}

// Error lists the conflicting rows with their versions.
func (e *ConflictError) Error() string {
	keys := make([]string, 0, len(e.Rows))
	for _, r := range e.Rows {
		keys = append(keys, fmt.Sprintf("%s@%d", r.Key, r.Version))
	}
	return "platform: conflict on " + strings.Join(keys, ", ")
}

// UnavailableError reports that the platform or an executor did not carry out a request.
type UnavailableError struct {
	Reason string
	// Invalid reports that the request was refused for what it contains: the same request will be refused again.
	Invalid bool
}

// Error includes the reason.
func (e *UnavailableError) Error() string { return "platform: unavailable: " + e.Reason }

// LostAnswerError reports that a request has an unknown outcome: it may have been carried out, or may
// be later.
type LostAnswerError struct{ Reason string }

// Error includes the reason.
func (e *LostAnswerError) Error() string { return "platform: answer lost: " + e.Reason }

// The key prefixes of the rows in the table.
const (
	MemberPrefix  = "vm/"
	JobPrefix     = "job/"
	SessionPrefix = "entry/"
	PlanPrefix    = "plan/"
	ConfPrefix    = "conf/"
	ClaimPrefix   = "claim/"
	TeamPrefix    = "team/"
)

// MemberKey returns the key of a VM's member row.
func MemberKey(id VMID) string { return MemberPrefix + string(id) }

// JobKey returns the key of a job's row.
func JobKey(id JobID) string { return JobPrefix + string(id) }

// TeamKey returns the key of the row that records what a team's placed jobs use.
func TeamKey(id TeamID) string { return TeamPrefix + string(id) }

// SessionKey returns the key of an entry's session row.
func SessionKey(id EntryID) string { return SessionPrefix + string(id) }

// PlanKey returns the key of the row that records which entry plans for a pool.
func PlanKey(id PoolID) string { return PlanPrefix + string(id) }
