// Package hosting describes the services of the hosting platform that the
// system depends on: the log service, the VM list, the cloud API and the
// weight store.
//
// The package holds interfaces and typed messages only. A client for a real
// platform implements the interfaces in a package of its own.
package hosting

import (
	"context"
	"time"
)

// Log is the platform's append-only log service. Streams are independent
// sequences of records, each with offsets that start at 0 and rise by 1.
type Log interface {
	// Append adds payloads to the end of the stream as consecutive records
	// and returns the offset of the first one. An *UnavailableError
	// means that nothing was appended. An *UncertainError means that the
	// records may or may not have been appended.
	Append(ctx context.Context, stream string, payloads [][]byte) (uint64, error)
	// Read returns records from offset from onwards, at most limit of them.
	// When there are none yet, it waits up to wait for the first one and then
	// returns an empty batch. A *TrimmedError means that retention has removed
	// the record at from.
	Read(ctx context.Context, stream string, from uint64, limit int, wait time.Duration) (Batch, error)
}

// Record is one entry of a stream.
type Record struct {
	// Offset is the position of the record in its stream.
	Offset uint64
	// Payload holds the bytes that were appended.
	Payload []byte
	// Time is when the log service accepted the record, by its own clock.
	Time time.Time
}

// Batch is a run of consecutive records.
type Batch struct {
	// Records are ordered by offset, without gaps.
	Records []Record
	// First is the oldest offset that the log retains.
	First uint64
	// Next is the offset that the next appended record gets. It is never
	// below the offset after the last record of the batch.
	Next uint64
}

// Role is the kind of process that runs on a VM.
type Role string

// The roles of VMs.
const (
	RoleEntry   Role = "Entry"
	RoleRunner  Role = "Runner"
	RoleService Role = "Service"
)

// VM is one machine of the VM list.
type VM struct {
	// Name is unique among all VMs and is never reused.
	Name   string
	Role   Role
	Region string
	// Zone is the availability zone.
	Zone string
	// Class is the VM class, which the plans' allowances refer to.
	Class       string
	Reclaimable bool
	// Price is the cost of one hour, in the platform's unit of spend.
	Price float64
	// Address is the host:port for requests. On an entry VM it is the
	// callers' listener.
	Address string
	// PeerAddress is the host:port for other daemons; set for RoleEntry.
	PeerAddress string
	// AdminAddress is the host:port of the administration listener; set for
	// RoleEntry.
	AdminAddress string
	// Models are the names of the models that a runner serves.
	Models []string
	// Service is the name of the plain service; set for RoleService.
	Service string
	// ChecksFencing is true when the backend server refuses orders with a
	// stale fencing token.
	ChecksFencing bool
	// Leaving is true when the VM is being stopped or reclaimed.
	Leaving bool
}

// VMSnapshot is the VM list at one moment. The list lags behind the actual state.
type VMSnapshot struct {
	// Version rises with every change of the list.
	Version uint64
	VMs     []VM
}

// VMList reads the platform's list of live and leaving VMs.
type VMList interface {
	VMs(ctx context.Context) (VMSnapshot, error)
}

// Notice announces that the cloud will reclaim a VM.
type Notice struct {
	// Sequence orders the notices of one cloud, starting at 1.
	Sequence uint64
	VM       string
	// Deadline is when the VM is stopped.
	Deadline time.Time
}

// StartRequest asks the cloud for a new VM.
type StartRequest struct {
	// Identity makes the request idempotent: a repeated identity returns
	// the VM of the first request.
	Identity    string
	Role        Role
	Zone        string
	Class       string
	Reclaimable bool
	Models      []string
	Service     string
}

// Cloud is the cloud API.
type Cloud interface {
	// Notices returns the reclaim notices with a sequence above after. It
	// waits up to wait when there are none.
	Notices(ctx context.Context, after uint64, wait time.Duration) ([]Notice, error)
	// Start starts a VM. A *NoCapacityError means that the cloud has no
	// capacity for the request.
	Start(ctx context.Context, request StartRequest) (VM, error)
	// Stop stops a VM. Stopping an unknown or stopped VM succeeds.
	Stop(ctx context.Context, vm string) error
}

// WeightStore holds the weights of models. It limits the rate of transfers.
type WeightStore interface {
	// Size returns the size of a model's weights in bytes.
	Size(ctx context.Context, model string) (int64, error)
	// Reserve reserves a transfer of that many bytes within the store's rate
	// limit. It returns how long the caller has to wait before it starts.
	Reserve(ctx context.Context, bytes int64) (time.Duration, error)
}
