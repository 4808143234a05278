package intake

import (
	"syscall"

	"github.com/rcrowley/go-metrics"

	"github.com/chicoryswitch/chicoryswitch/internal/process/logging"
)

const (
	// defaultMemory is assumed if the memory of the machine can't be read: that of the smallest
	// entry VM.
	defaultMemory = 144e6
	// memoryShare is the part of the machine's memory that clients may use. The collector lets the
	// heap grow to twice what is in use, so that half of the memory is the most that clients' part
	// takes.
	memoryShare = 0.25
	// descriptorShare is the part of the process's descriptors that clients of one server may use by
	// default. With 280 engines of 500 connections and 65 entry VMs, one of them needs 2,150 of 3,075
	// for targets, and up to 200 for its other ports.
	descriptorShare = 0.2
	// defaultDescriptors is assumed if the limit of descriptors can't be read.
	defaultDescriptors = 1024
)

// sysinfo is replaced by tests.
var sysinfo = syscall.Sysinfo

// DefaultTotal returns the bytes that the clients of a process may use on this machine. known is false
// if the memory of the machine can't be read, and the total is that for the smallest entry VM.
func DefaultTotal() (total int64, known bool) {
	memory, known := machineMemory()
	return int64(memoryShare * float64(memory)), known
}

func machineMemory() (bytes uint64, known bool) {
	var info syscall.Sysinfo_t
	if err := sysinfo(&info); err != nil || info.Totalram == 0 {
		return defaultMemory, false
	}
	// The types of the fields depend on the architecture.
	return uint64(info.Totalram) * max(1, uint64(info.Unit)), true
}

// DefaultConnections returns the number of connections that clients of one server may have.
func DefaultConnections() int {
	var limit syscall.Rlimit
	if err := syscall.Getrlimit(syscall.RLIMIT_NOFILE, &limit); err != nil || limit.Cur == 0 {
		limit.Cur = defaultDescriptors
	}
	const most = 1 << 20 // an unlimited number of descriptors
	return max(1, int(descriptorShare*float64(min(limit.Cur, most))))
}

// NewProcessBudget returns the budget of a process. A total of 0 means DefaultTotal; if the memory of
// the machine can't be read, a log line says so.
func NewProcessBudget(total int64, registry metrics.Registry, log *logging.Logger) *Budget {
	if total == 0 {
		var known bool
		if total, known = DefaultTotal(); !known {
			log.Warn(logging.ClientsRefused, logging.Fields{"reason": "the memory of the machine can't be read", "memory_total": total})
		}
	}
	b := NewBudget(total, registry)
	b.logger = log
	return b
}
